/** Answers messages: pings, pings relayed for other hosts, and the comparison of tables. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';
import {type Messages} from './create-messages.js';
import {type Prober} from './create-prober.js';
import {type Records} from './create-records.js';
import {type Sync} from './create-sync.js';
import {type MemberMessage, type OutMessage} from './types.js';

export type Responder = {
	/** Answers a message whose records were merged. */
	answer: (message: MemberMessage, from: HostId, now: Milliseconds) => OutMessage[];
	/** Starts a comparison with a host whose table has differed from this one's for a while. */
	compare: (message: MemberMessage, from: HostId, now: Milliseconds) => OutMessage[];
};

/**
 * Creates the responder of one host.
 *
 * @param input - The table, the probes in flight, the table comparison, and the message factory.
 * @returns See {@link Responder}.
 */
export function createResponder({records, prober, sync, messages}: {
	records: Records;
	prober: Prober;
	sync: Sync;
	messages: Messages;
}): Responder {
	const {send, reply} = messages;

	return {
		answer(message, from, now) {
			switch (message.kind) {
				case 'ping': {
					return [reply(from, {kind: 'ack', seq: message.seq}, now)];
				}

				case 'ack': {
					const relayed = prober.takeAnswer(message.seq, from);
					return relayed ? [reply(relayed.requester, {kind: 'ping-reply', seq: relayed.requestSeq, target: from}, now)] : [];
				}

				case 'ping-request': {
					const target = records.get(message.target);
					const seq = target && prober.startRelayedPing(from, message.seq, target.id, now);
					return seq === undefined ? [] : [send(target!, {kind: 'ping', seq}, now)];
				}

				case 'ping-reply': {
					prober.takeAnswer(message.seq, message.target);
					return [];
				}

				case 'news': {
					return [];
				}

				case 'zones':
				case 'stamps':
				case 'records': {
					const next = sync.answer(message);
					return next ? [reply(from, next.body, now, next.updates)] : [];
				}
			}
		},
		compare: ({digest}, from, now) => sync.noteDigest(from, digest, now) ? [reply(from, {kind: 'zones', zones: sync.zones()}, now)] : [],
	};
}
