/** Streams the body of a request to a plain service without buffering it. */
import {type Buffer} from 'node:buffer';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {type BodyFault, type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

export type PlainBody = {
	/** Returns the body to send; called once for each server that is tried. */
	open: () => Buffer | AsyncIterable<Uint8Array> | undefined;
	/** The whole body; `undefined` if it is streamed. */
	bytes: () => Uint8Array | undefined;
	/** Whether a part of the body was consumed, so that it can't be sent again. */
	isTaken: () => boolean;
	/** Why the body ended too early. */
	fault: () => Exclude<BodyFault, 'gone'> | undefined;
};

/**
 * Creates a body that is read from the caller at the pace of the service, with
 * limits of size and time.
 *
 * @param exchange - The caller's request.
 * @param options - Whether there is a body, and its limits in bytes and milliseconds.
 * @returns The body.
 */
export function createPlainBody(exchange: CallerExchange, options: {hasBody: boolean; limitBytes: number; timeoutMs: Milliseconds}): PlainBody {
	let isTaken = false;
	let fault: Exclude<BodyFault, 'gone'> | undefined;

	async function * read(): AsyncGenerator<Uint8Array> {
		isTaken = true;
		let size = 0;
		const timeout = createDeferred<undefined>();
		const timer = setTimeout(timeout.resolve, options.timeoutMs, undefined);
		// Leaving the loop early must not destroy the caller's connection, which still needs an answer.
		const chunks = exchange.incoming.iterator({destroyOnReturn: false}) as AsyncIterator<Buffer, undefined>;
		try {
			for (;;) {
				const next = await Promise.race([chunks.next(), timeout.promise]);
				if (next === undefined) {
					fault = 'slow-request';
					throw new Error('the request body did not arrive in time');
				}

				if (next.done) {
					return;
				}

				size += next.value.length;
				if (size > options.limitBytes) {
					fault = 'body-too-large';
					throw new Error('the request body exceeds its size limit');
				}

				yield next.value;
			}
		} finally {
			clearTimeout(timer);
		}
	}

	return {
		open: () => options.hasBody ? read() : undefined,
		bytes: () => options.hasBody ? undefined : new Uint8Array(),
		isTaken: () => isTaken,
		fault: () => fault,
	};
}
