/** Sends membership messages and announces newer documents to peers. */
import {type Membership, type OutMessage} from '../../../domain/create-membership/index.js';
import {type HostId} from '../../../ports/ids.js';
import {type Mesh} from './create-mesh.js';
import {peerEvents, type KnownVersions, type MemberEvent} from './peer-messages.js';

export type PeerNotifier = {
	sendMessages: (messages: readonly OutMessage[]) => void;
	/** Announces a newer document to the hosts that its origin does not notify. */
	announceVersions: (origin: HostId) => void;
};

/**
 * Creates the notifier.
 *
 * @param options - Connections, membership, the versions that this host holds, and the summaries for pings.
 * @returns See {@link PeerNotifier}.
 */
export function createPeerNotifier({mesh, membership, versions, toPiggybackedSummary}: {
	mesh: Mesh;
	membership: Membership;
	versions: () => KnownVersions;
	/** Returns the packed summary to piggyback on a ping to a host; `undefined` if there is none. */
	toPiggybackedSummary: (to: HostId) => Uint8Array | undefined;
}): PeerNotifier {
	return {
		sendMessages(messages) {
			for (const {to, address, message} of messages) {
				const isAnswer = message.kind !== 'ping' && message.kind !== 'zones';
				const piggybacked = message.kind === 'ping' && to !== undefined ? toPiggybackedSummary(to) : undefined;
				const event: MemberEvent = {message, ...(!isAnswer && {versions: versions()}), ...(piggybacked && {summaries: piggybacked})};
				mesh.send({to, address}, peerEvents.member, event);
			}
		},
		announceVersions(origin) {
			for (const {id, agentAddress} of membership.spreadTargets(origin)) {
				mesh.send({to: id, address: agentAddress}, peerEvents.versions, versions());
			}
		},
	};
}
