import {setTimeout as sleep} from 'node:timers/promises';
import {
	err, errAsync, okAsync, type Result, ResultAsync,
} from 'neverthrow';
import {type PeerConnection} from '../../../../adapters/peer-tcp/index.js';
import {type AskFailure} from '../../../../domain/claim-key/index.js';
import {
	type ClaimAnswer, type ClaimRequest, type ClaimWitness, type ScopedKey,
} from '../../../../domain/create-claim-witness/index.js';
import {type Clock, type Milliseconds} from '../../../../ports/clock.js';
import {type HostId} from '../../../../ports/ids.js';
import {type FleetView} from '../../../../ports/view.js';
import {type PeerPool} from './create-peer-pool.js';
import {claimAnswerSchema, events, methods} from './messages.js';

/** The timeout of a witness that is believed to be dead is divided by this. */
const downHostTimeoutDivisor = 5;

export type WitnessClientOptions = {
	/** This host's own slot; its witness is called without a connection. */
	slot: HostId;
	witness: ClaimWitness;
	pool: PeerPool;
	toView: () => FleetView | undefined;
	clock: Clock;
	askTimeoutMs: Milliseconds;
};

/** Connects to witnesses by their host slots. */
export type WitnessClient = {
	connectTo: (host: HostId) => ResultAsync<PeerConnection, AskFailure>;
	ask: (host: HostId, request: ClaimRequest) => ResultAsync<ClaimAnswer, AskFailure>;
	release: (host: HostId, request: ScopedKey & {claimId: string}) => void;
};

/**
 * Creates the client of one entry.
 *
 * @param options - See {@link WitnessClientOptions}.
 * @returns Functions to ask witnesses and to release claims.
 */
export function createWitnessClient({
	slot, witness, pool, toView, clock, askTimeoutMs,
}: WitnessClientOptions): WitnessClient {
	/** Returns an empty address while it is unknown; connecting to that fails. */
	function toAddressOf(host: HostId): string {
		return toView()?.hosts.get(host)?.entryAddress ?? '';
	}

	function isEntryOf({peer}: PeerConnection, host: HostId): boolean {
		return peer.host === host && peer.role === 'entry';
	}

	function connectTo(host: HostId): ResultAsync<PeerConnection, AskFailure> {
		return pool.get(toAddressOf(host)).andThen(connection => isEntryOf(connection, host)
			? okAsync(connection)
			: errAsync({message: `the process at the known address of host ${host} is not that host's entry`}));
	}

	function isBelievedDown(host: HostId): boolean {
		const life = toView()?.hosts.get(host)?.life;
		return life === 'dead' || life === 'left';
	}

	/**
	 * Fails after a fraction of the timeout. On the minority side of a partition most
	 * witnesses are believed to be dead, and every caller would wait for the full
	 * timeout to be refused. Such a witness is still asked, since the entry of a host
	 * that is believed to be dead may be serving.
	 */
	async function failEarly(host: HostId): Promise<Result<ClaimAnswer, AskFailure>> {
		await sleep(askTimeoutMs / downHostTimeoutDivisor, undefined, {ref: false});
		return err({message: `host ${host} is believed to be dead and did not answer within a fifth of the usual timeout`});
	}

	function ask(host: HostId, request: ClaimRequest): ResultAsync<ClaimAnswer, AskFailure> {
		if (host === slot) {
			return okAsync(witness.claim(request, clock.wallNow()));
		}

		const answered = pool.callWithRetry(toAddressOf(host), methods.claim, request, askTimeoutMs)
			.mapErr((failure): AskFailure => failure)
			.andThen(({connection, reply}) => {
				const answer = claimAnswerSchema.safeParse(reply);
				return answer.success && isEntryOf(connection, host)
					? okAsync<ClaimAnswer, AskFailure>(answer.data as ClaimAnswer)
					: errAsync<ClaimAnswer, AskFailure>({message: `host ${host} sent no valid answer to a claim`});
			});
		return isBelievedDown(host) ? new ResultAsync(Promise.race([answered, failEarly(host)])) : answered;
	}

	function release(host: HostId, request: {workspace: string; key: string; claimId: string}) {
		if (host === slot) {
			witness.release(request);
			return;
		}

		// A lost release does no lasting harm: when the next claimant asks to join, the holder finds no run and releases the claim again.
		void connectTo(host).map(connection => connection.send(events.release, request));
	}

	return {connectTo, ask, release};
}
