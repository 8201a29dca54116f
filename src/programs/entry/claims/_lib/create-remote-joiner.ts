import {type PeerConnection} from '../../../../adapters/peer-tcp/index.js';
import {type Claim} from '../../../../domain/create-claim-witness/index.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type Claimed, type KeyedRequest} from '../types.js';
import {type PeerPool} from './create-peer-pool.js';
import {createRemoteReader} from './create-remote-reader.js';
import {joinReplySchema, methods, type JoinReply} from './messages.js';
import {toJoinProblem} from './to-claim-problem.js';

/** The claimant answers a join only after its own claim is decided. */
const joinTimeoutMs = 8 * msPerSecond;

async function callJoin(pool: PeerPool, request: KeyedRequest, holder: Claim): Promise<{connection: PeerConnection; reply: JoinReply} | undefined> {
	const {workspace, key, digest} = request;
	const replied = await pool.callWithRetry(holder.claimant.address, methods.join, {
		workspace, key, digest, claimId: holder.claimId,
	}, joinTimeoutMs);
	if (replied.isErr()) {
		return undefined;
	}

	const reply = joinReplySchema.safeParse(replied.value.reply);
	return reply.success ? {connection: replied.value.connection, reply: reply.data} : undefined;
}

/**
 * Creates the function that joins another host's run.
 *
 * @param pool - Connections to other entries.
 * @returns The function; it resolves to `again` if the holder has released its claim, and to `lost` if the outcome of that claim cannot be learnt.
 */
export function createRemoteJoiner(pool: PeerPool): (request: KeyedRequest, holder: Claim) => Promise<Claimed | 'again' | 'lost'> {
	return async (request, holder) => {
		const joined = await callJoin(pool, request, holder);
		switch (joined?.reply.kind) {
			case 'reading': {
				return {kind: 'join', reader: createRemoteReader(joined.connection, joined.reply.readId), host: holder.claimant.host};
			}

			case 'released': {
				return 'again';
			}

			case 'other-body':
			case 'not-kept':
			case 'broken': {
				return {kind: 'refused', problem: toJoinProblem(joined.reply.kind)};
			}

			case 'foreign':
			case undefined: {
				return 'lost';
			}
		}
	};
}
