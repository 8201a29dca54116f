/**
 * Passes a stream of events on, whole events only, so that another server can go
 * on with it where the first one broke off: a server may stop in the middle of an
 * event, and what follows half an event belongs to nobody.
 */
import {Buffer} from 'node:buffer';
import {type CallFlow} from '../../../../adapters/_lib/dispatch-call/index.js';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {createFlowWriter, type Relay} from './create-relay.js';

/** What of a stream has gone to the caller, over all servers that sent a part of it. */
export type RelayedEvents = {
	/** The caller has the head of the answer. */
	hasBegun: boolean;
	/** Id of the last event that went out whole. */
	lastId: string | undefined;
};

/** A blank line ends an event, whichever way lines end. */
const eventEnds = ['\n\n', '\r\n\r\n'].map(text => Buffer.from(text));
const idLine = /^id:[ ]?(?<id>.*)$/gmv;

/** Length up to the last event's end; 0 when none has ended. */
function findLastEnd(bytes: Buffer, end: Buffer): number {
	const at = bytes.lastIndexOf(end);
	return at === -1 ? 0 : at + end.length;
}

/** The id that the last event with one has. */
function findLastId(events: string): string | undefined {
	return [...events.matchAll(idLine)].at(-1)?.groups?.id?.trimEnd();
}

/**
 * Creates the relay of one server's part of a stream.
 *
 * @param options - The caller's connection, how long it may read nothing, and what it has of the stream.
 * @returns Its functions, called in order: start, pieces, end.
 */
export function createEventRelay(options: {exchange: CallerExchange; idleTimeoutMs: Milliseconds; events: RelayedEvents}): Relay {
	const {exchange, events} = options;
	const writer = createFlowWriter(options);
	let incomplete: Buffer = Buffer.alloc(0);

	return {
		start(status, headers, flow: CallFlow) {
			writer.setFlow(flow);
			if (!events.hasBegun) {
				events.hasBegun = true;
				exchange.startStream(status, headers);
			}
		},
		write(bytes) {
			const all = incomplete.length === 0 ? bytes : Buffer.concat([incomplete, bytes]);
			const length = Math.max(...eventEnds.map(end => findLastEnd(all, end)));
			incomplete = all.subarray(length);
			if (length > 0) {
				const whole = all.subarray(0, length);
				events.lastId = findLastId(whole.toString('utf8')) ?? events.lastId;
				writer.pass(whole);
			}
		},
		end() {
			if (incomplete.length > 0) {
				writer.pass(incomplete);
			}

			exchange.end();
		},
		hasBegun: () => events.hasBegun,
	};
}
