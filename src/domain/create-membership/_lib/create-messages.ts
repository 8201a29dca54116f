/** Makes messages: adds the header and gossip to a body, and addresses the message. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type OwnRecord} from './create-own-record.js';
import {type Records} from './create-records.js';
import {type Targets} from './create-targets.js';
import {type ZoneContactTimes} from './create-zone-contact-times.js';
import {
	type HostRecord, type MemberMessage, type MessageBody, type OutMessage,
} from './types.js';

const updatesPerMessage = 6;

export type Messages = {
	/** Makes a message to a known host. */
	send: (to: HostRecord, body: MessageBody, now: Milliseconds) => OutMessage;
	/** Makes a message to a host that may not be in the table yet: the reply goes back over that host's own connection. */
	reply: (to: HostId, body: MessageBody, now: Milliseconds, extra?: readonly HostRecord[]) => OutMessage;
	/** Makes a message to an address whose host is not known; this host's own record comes first in it. */
	sendToAddress: (address: string, body: MessageBody, now: Milliseconds) => OutMessage;
	/** Makes messages that spread records at once, to all hosts that pass them on but the origin; none when there are no records. */
	flood: (updates: readonly HostRecord[], origin: HostId, now: Milliseconds) => OutMessage[];
};

/**
 * Creates the message factory of one host.
 *
 * @param input - The tables, and the zone of this host.
 * @returns See {@link Messages}.
 */
export function createMessages({records, own, contacts, targets, ownZone}: {
	records: Records;
	own: OwnRecord;
	contacts: ZoneContactTimes;
	targets: Targets;
	ownZone: ZoneId;
}): Messages {
	function toMessage(body: MessageBody, to: HostRecord | undefined, now: Milliseconds, extra: readonly HostRecord[] = []): MemberMessage {
		const {incarnation, revision} = own.self();
		// The record of a receiver that is not seen alive comes first, so that the receiver can refute it.
		const first = to && to.life !== 'alive' ? [to, ...extra] : extra;
		const rest = records.takeUpdates(updatesPerMessage - Math.min(first.length, updatesPerMessage));
		const updates = [...first, ...rest.filter(record => !first.some(({id}) => id === record.id))];
		return {
			...body, incarnation, revision, digest: records.digest(), updates, contacts: body.kind === 'ping' && to?.zone === ownZone ? contacts.ages(now) : undefined,
		};
	}

	return {
		send: (to, body, now) => ({to: to.id, address: to.agentAddress, message: toMessage(body, to, now)}),
		reply(to, body, now, extra) {
			const record = records.get(to);
			return {to, address: record?.agentAddress ?? '', message: toMessage(body, record, now, extra)};
		},
		sendToAddress: (address, body, now) => ({to: undefined, address, message: toMessage(body, undefined, now, [own.self()])}),
		flood(updates, origin, now) {
			const receivers = updates.length > 0 ? targets.spreadTo(origin) : [];
			return receivers.map(to => ({to: to.id, address: to.agentAddress, message: toMessage({kind: 'news'}, undefined, now, updates)}));
		},
	};
}
