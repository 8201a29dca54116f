import {setTimeout as sleep} from 'node:timers/promises';
import {createDeferred} from '../../../../_lib/create-deferred/index.js';
import {claimKey, type ClaimKeyOptions} from '../../../../domain/claim-key/index.js';
import {type Claim, type ScopedKey} from '../../../../domain/create-claim-witness/index.js';
import {type RunTable} from '../../../../domain/create-run-table/index.js';
import {toScopedKey} from '../../../../domain/to-scoped-key/index.js';
import {type Clock, type Random} from '../../../../ports/clock.js';
import {type Claimed, type KeyedRequest} from '../types.js';
import {toClaimProblem, toJoinProblem, toLostProblem} from './to-claim-problem.js';

const maxRounds = 6;
const roundBackoffMs = 40;

export type ClaimerOptions = Pick<ClaimKeyOptions, 'ask' | 'release'> & {
	/** Identifies this process; the ids of its claims begin with it. */
	processId: string;
	/** This host's slot. */
	slot: string;
	/** Returns this host as claimant, with its current incarnation and address. */
	toClaimant: () => Claim['claimant'];
	/** Returns the witness sets of a scoped key. */
	toSets: (scopedKey: string) => ClaimKeyOptions['sets'];
	runs: RunTable;
	/** Starts the run of a granted claim, synchronously. */
	startRun: (request: KeyedRequest, claimId: string) => Claimed;
	/** Joins the run of another host's claim. */
	joinRemote: (request: KeyedRequest, holder: Claim) => Promise<Claimed | 'again' | 'lost'>;
	releaseEverywhere: (request: ScopedKey & {claimId: string}) => void;
	clock: Clock;
	random: Random;
};

export type Claimer = {
	/** Claims a key and starts its run, or joins the run of the process that holds the key. */
	claim: (request: KeyedRequest) => Promise<Claimed>;
	/** Waits until a claim of this process is decided; resolves at once if none is pending. */
	waitForDecision: (request: ScopedKey & {claimId: string}) => Promise<void>;
};

/**
 * Creates the function that claims keys for this entry.
 *
 * @param options - See {@link ClaimerOptions}.
 * @returns See {@link Claimer}.
 */
export function createClaimer(options: ClaimerOptions): Claimer {
	const {processId, slot, toClaimant, toSets, ask, release, runs, startRun, joinRemote, releaseEverywhere, clock, random} = options;
	/** Undecided claims of this process, by scoped key. */
	const pending = new Map<string, {claimId: string; decided: Promise<void>}>();
	let claimCount = 0;

	async function claimOnce(request: KeyedRequest, replaces: string | undefined): Promise<Claimed | {kind: 'held'; holder: Claim}> {
		const {workspace, key, digest, isRepeatable} = request;
		const scopedKey = toScopedKey(request);
		claimCount++;
		const claimId = `${processId}-${claimCount}`;
		const decided = createDeferred();
		pending.set(scopedKey, {claimId, decided: decided.promise});
		try {
			const granted = await claimKey({
				request: {
					workspace, key, digest, isRepeatable, claimId, replaces, claimant: toClaimant(),
				},
				sets: toSets(scopedKey),
				ask,
				release,
				wait: async ms => sleep(ms),
				random,
			});
			if (granted.isErr()) {
				return {kind: 'refused', problem: toClaimProblem(granted.error)};
			}

			// No `await` between the grant and the start: a peer that asks to join finds either the pending claim or the run in the table.
			return granted.value.kind === 'granted' ? startRun(request, claimId) : {kind: 'held', holder: granted.value.claim};
		} finally {
			pending.delete(scopedKey);
			decided.resolve();
		}
	}

	/** Joins the run of the claim that holds the key; `again` and `lost` as in `createRemoteJoiner`. */
	async function joinHolder(request: KeyedRequest, holder: Claim): Promise<Claimed | 'again' | 'lost'> {
		if (!holder.claimId.startsWith(processId)) {
			return joinRemote(request, holder);
		}

		// This process holds the claim but has no run of it: the claim was released, and a witness missed the release.
		if (!runs.has(request)) {
			releaseEverywhere({workspace: request.workspace, key: request.key, claimId: holder.claimId});
		}

		return 'again';
	}

	function joinLocal(request: KeyedRequest): Claimed | undefined {
		const joined = runs.join(request, clock.now());
		if (joined.isOk()) {
			return {kind: 'join', reader: joined.value, host: slot};
		}

		return joined.error === 'unknown' ? undefined : {kind: 'refused', problem: toJoinProblem(joined.error)};
	}

	async function claim(request: KeyedRequest): Promise<Claimed> {
		const scopedKey = toScopedKey(request);
		let replaces: string | undefined;
		for (let round = 1; round <= maxRounds; round++) {
			const local = joinLocal(request);
			if (local !== undefined) {
				return local;
			}

			const pendingClaim = pending.get(scopedKey);
			if (pendingClaim !== undefined) {
				await pendingClaim.decided;
				continue;
			}

			const claimed = await claimOnce(request, replaces);
			if (claimed.kind !== 'held') {
				return claimed;
			}

			const joined = await joinHolder(request, claimed.holder);
			if (joined !== 'again' && joined !== 'lost') {
				return joined;
			}

			if (joined === 'lost' && !request.isRepeatable) {
				return {kind: 'refused', problem: toLostProblem(claimed.holder.claimant.host)};
			}

			replaces = joined === 'lost' ? claimed.holder.claimId : undefined;
			await sleep(joined === 'lost' ? 0 : roundBackoffMs * round * (0.5 + random()));
		}

		return {kind: 'refused', problem: toLostProblem(undefined)};
	}

	return {
		claim,
		async waitForDecision(request) {
			const pendingClaim = pending.get(toScopedKey(request));
			if (pendingClaim?.claimId === request.claimId) {
				await pendingClaim.decided;
			}
		},
	};
}
