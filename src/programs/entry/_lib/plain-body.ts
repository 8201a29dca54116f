/** The body of a plain service's request, passed through as it comes. */
import {type Buffer} from 'node:buffer';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {type BodyFault, type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

export type PlainBody = {
	/** What to send; called once for each server that is tried. */
	open: () => Buffer | AsyncIterable<Uint8Array> | undefined;
	/** The whole body; `undefined` where it goes through unread. */
	bytes: () => Uint8Array | undefined;
	/** Whether a part was handed out that can't be had again. */
	isTaken: () => boolean;
	/** Why the body ended too early. */
	fault: () => Exclude<BodyFault, 'gone'> | undefined;
};

/**
 * Creates a body that is read from the caller as the service takes it, within
 * a bound of size and time.
 *
 * @param exchange - The caller's request.
 * @param options - Whether there is a body, and its bounds.
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
		// Leaving early must not end the caller's connection: it is still owed an answer.
		const chunks = exchange.incoming.iterator({destroyOnReturn: false}) as AsyncIterator<Buffer, undefined>;
		try {
			for (;;) {
				const next = await Promise.race([chunks.next(), timeout.promise]);
				if (next === undefined) {
					fault = 'slow-request';
					throw new Error('the body came too slowly');
				}

				if (next.done) {
					return;
				}

				size += next.value.length;
				if (size > options.limitBytes) {
					fault = 'body-too-large';
					throw new Error('the body is too large');
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
