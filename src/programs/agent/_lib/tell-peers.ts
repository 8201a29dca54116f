/** Sends what membership says, and the versions of newer documents. */
import {type Membership, type OutMessage} from '../../../domain/create-membership/index.js';
import {type HostId} from '../../../ports/ids.js';
import {type Mesh} from './create-mesh.js';
import {peerEvents, type KnownVersions, type MemberEvent} from './peer-messages.js';

export type PeerTeller = {
	dispatch: (messages: readonly OutMessage[]) => void;
	/** Tells of a newer document whoever has not heard it from where it came from. */
	announce: (origin: HostId) => void;
};

/**
 * Creates it.
 *
 * @param options - Connections, membership, and the versions that this host holds.
 * @returns See {@link PeerTeller}.
 */
export function tellPeers({mesh, membership, versions, toRider}: {
	mesh: Mesh;
	membership: Membership;
	versions: () => KnownVersions;
	/** Bytes that ride on a ping to a host. */
	toRider: (to: HostId) => Uint8Array | undefined;
}): PeerTeller {
	return {
		dispatch(messages) {
			for (const {to, address, message} of messages) {
				const isAnswer = message.kind !== 'ping' && message.kind !== 'zones';
				const rider = message.kind === 'ping' && to !== undefined ? toRider(to) : undefined;
				const event: MemberEvent = {message, ...(!isAnswer && {versions: versions()}), ...(rider && {summaries: rider})};
				mesh.send({to, address}, peerEvents.member, event);
			}
		},
		announce(origin) {
			for (const {id, agentAddress} of membership.spreadTargets(origin)) {
				mesh.send({to: id, address: agentAddress}, peerEvents.versions, versions());
			}
		},
	};
}
