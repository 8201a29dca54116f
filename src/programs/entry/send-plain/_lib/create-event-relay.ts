/**
 * Relays a stream of events, only complete events at a time. A server may stop in
 * the middle of an event; without the incomplete part, another server can continue
 * the stream after the last complete event.
 */
import {type CallFlow} from '../../../../adapters/_lib/dispatch-call/index.js';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {bytesPerMebibyte} from '../../../../ports/units.js';
import {createEventBuffer} from './create-event-buffer.js';
import {createFlowWriter, type Relay} from './create-relay.js';

/** Part of a stream that the caller has received, from all servers that sent some of it. */
export type RelayedEvents = {
	/** Whether the caller has received the head of the answer and a part of its body. */
	hasBegun: boolean;
	/** Id of the last complete event that was relayed. */
	lastId: string | undefined;
};

export type EventRelayOptions = {
	exchange: CallerExchange;
	/** Idle timeout of a caller that does not read. */
	idleTimeoutMs: Milliseconds;
	/** Part of the stream that the caller has. */
	events: RelayedEvents;
	/** Called once, before the first event of this server is relayed. */
	onEvents?: (() => void) | undefined;
};

/** Status of a stream; an answer with another one is no stream, whatever its body. */
const streamStatus = 200;

const idLine = /^id:[ ]?(?<id>.*)$/gmv;

/** Longest event that is relayed. An event can't be passed on before its end, so a host would have to keep all of it. */
const maxEventBytes = bytesPerMebibyte;

/** Finds the id of the last event that has one. */
function findLastId(events: string): string | undefined {
	return [...events.matchAll(idLine)].at(-1)?.groups?.id?.trimEnd();
}

/**
 * Creates the relay of one server's part of a stream. The head is sent with the first
 * event: a server that is lost before it leaves the caller with nothing that binds
 * the stream, so that any other server may begin it.
 *
 * @param options - See {@link EventRelayOptions}.
 * @returns Functions to call in this order: `start`, `write` for each chunk, `end`.
 */
export function createEventRelay(options: EventRelayOptions): Relay {
	const {exchange, events, onEvents} = options;
	const writer = createFlowWriter(options);
	const buffer = createEventBuffer();
	let begin: (() => void) | undefined;
	/** Whether the answer is a stream, and none of its events has been relayed. */
	let isSilentStream = false;

	function beginOnce(): void {
		begin?.();
		begin = undefined;
	}

	function noteEvents(): void {
		if (isSilentStream) {
			isSilentStream = false;
			onEvents?.();
		}
	}

	return {
		start(status, headers, flow: CallFlow) {
			writer.setFlow(flow);
			isSilentStream = status === streamStatus;
			begin = () => {
				if (!events.hasBegun) {
					events.hasBegun = true;
					exchange.startStream(status, headers);
				}
			};
		},
		write(bytes) {
			const whole = buffer.add(bytes);
			if (whole !== undefined) {
				noteEvents();
				beginOnce();
				events.lastId = findLastId(whole.toString('utf8')) ?? events.lastId;
				writer.pass(whole);
			}

			return buffer.size() > maxEventBytes ? `an event is longer than ${maxEventBytes} bytes` : undefined;
		},
		end() {
			beginOnce();
			if (buffer.size() > 0) {
				writer.pass(buffer.rest());
			}

			exchange.end();
		},
		hasBegun: () => events.hasBegun,
	};
}
