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

/** A witness that is thought dead gets the time-out divided by this. */
const downHostTimeoutDivisor = 5;

export type WitnessClientOptions = {
	/** This host's own slot, whose witness is called directly. */
	slot: HostId;
	witness: ClaimWitness;
	pool: PeerPool;
	toView: () => FleetView | undefined;
	clock: Clock;
	askTimeoutMs: Milliseconds;
};

/** Reaches witnesses by their host slots. */
export type WitnessClient = {
	connectTo: (host: HostId) => ResultAsync<PeerConnection, AskFailure>;
	ask: (host: HostId, request: ClaimRequest) => ResultAsync<ClaimAnswer, AskFailure>;
	release: (host: HostId, request: ScopedKey & {claimId: string}) => void;
};

/**
 * Creates the client of one entry.
 *
 * @param options - See {@link WitnessClientOptions}.
 * @returns Functions to ask witnesses and to give claims back.
 */
export function createWitnessClient({
	slot, witness, pool, toView, clock, askTimeoutMs,
}: WitnessClientOptions): WitnessClient {
	/** Empty while unknown, which no connection can be made to. */
	function toAddressOf(host: HostId): string {
		return toView()?.hosts.get(host)?.entryAddress ?? '';
	}

	function isEntryOf({peer}: PeerConnection, host: HostId): boolean {
		return peer.host === host && peer.role === 'entry';
	}

	function connectTo(host: HostId): ResultAsync<PeerConnection, AskFailure> {
		return pool.get(toAddressOf(host)).andThen(connection => isEntryOf(connection, host)
			? okAsync(connection)
			: errAsync({message: `the entry of host ${host} is not at the address known`}));
	}

	function isBelievedDown(host: HostId): boolean {
		const life = toView()?.hosts.get(host)?.life;
		return life === 'dead' || life === 'left';
	}

	/**
	 * On the small side of a cut most witnesses are thought dead, and callers would
	 * all wait out the time-out for their refusal. Such a witness is asked none the
	 * less, since a host may be thought dead whose entry serves, but for less time.
	 */
	async function failEarly(host: HostId): Promise<Result<ClaimAnswer, AskFailure>> {
		await sleep(askTimeoutMs / downHostTimeoutDivisor, undefined, {ref: false});
		return err({message: `host ${host} is thought dead and did not answer soon`});
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

		// A release that is lost is made up for when the next claimant asks to join: see `join`.
		void connectTo(host).map(connection => connection.send(events.release, request));
	}

	return {connectTo, ask, release};
}
