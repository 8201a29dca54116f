/**
 * Relays a stream of events, only complete events at a time. A server may stop in
 * the middle of an event; without the incomplete part, another server can continue
 * the stream after the last complete event.
 */
import {Buffer} from 'node:buffer';
import {type CallFlow} from '../../../../adapters/_lib/dispatch-call/index.js';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {createFlowWriter, type Relay} from './create-relay.js';

/** Part of a stream that the caller has received, from all servers that sent some of it. */
export type RelayedEvents = {
	/** Whether the caller has received the head of the answer. */
	hasBegun: boolean;
	/** Id of the last complete event that was relayed. */
	lastId: string | undefined;
};

/** A blank line ends an event, with either kind of line ending. */
const eventEnds = ['\n\n', '\r\n\r\n'].map(text => Buffer.from(text));
const idLine = /^id:[ ]?(?<id>.*)$/gmv;

/** Length up to the end of the last complete event; 0 if there is none. */
function findLastEnd(bytes: Buffer, end: Buffer): number {
	const at = bytes.lastIndexOf(end);
	return at === -1 ? 0 : at + end.length;
}

/** Finds the id of the last event that has one. */
function findLastId(events: string): string | undefined {
	return [...events.matchAll(idLine)].at(-1)?.groups?.id?.trimEnd();
}

/**
 * Creates the relay of one server's part of a stream.
 *
 * @param options - The caller's connection, its idle timeout in milliseconds, and the part of the stream that it has.
 * @returns Functions to call in this order: `start`, `write` for each chunk, `end`.
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
