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
	/** Names this process; its claims begin with it. */
	instance: string;
	/** This host's slot. */
	slot: string;
	/** Who claims, as its process is now. */
	toClaimant: () => Claim['claimant'];
	/** Witnesses of a scoped key. */
	toSets: (scopedKey: string) => ClaimKeyOptions['sets'];
	runs: RunTable;
	/** Begins the run of a granted claim, without a wait. */
	startRun: (request: KeyedRequest, claimId: string) => Claimed;
	/** Joins the run of another host's claim. */
	joinRemote: (request: KeyedRequest, holder: Claim) => Promise<Claimed | 'again' | 'lost'>;
	releaseEverywhere: (request: ScopedKey & {claimId: string}) => void;
	clock: Clock;
	random: Random;
};

export type Claimer = {
	/** Claims a key and starts its run, or joins the run of whoever has it. */
	claim: (request: KeyedRequest) => Promise<Claimed>;
	/** Waits until this claim of ours is decided, if it is not. */
	waitForDecision: (request: ScopedKey & {claimId: string}) => Promise<void>;
};

/**
 * Creates what claims keys for this entry.
 *
 * @param options - See {@link ClaimerOptions}.
 * @returns See {@link Claimer}.
 */
export function createClaimer(options: ClaimerOptions): Claimer {
	const {instance, slot, toClaimant, toSets, ask, release, runs, startRun, joinRemote, releaseEverywhere, clock, random} = options;
	/** Claims of this process that are not decided yet, by scoped key. */
	const pending = new Map<string, {claimId: string; decided: Promise<void>}>();
	let claimCount = 0;

	async function claimOnce(request: KeyedRequest, replaces: string | undefined): Promise<Claimed | {kind: 'held'; holder: Claim}> {
		const {workspace, key, digest, isRepeatable} = request;
		const text = toScopedKey(request);
		claimCount++;
		const claimId = `${instance}-${claimCount}`;
		const decided = createDeferred();
		pending.set(text, {claimId, decided: decided.promise});
		try {
			const granted = await claimKey({
				request: {
					workspace, key, digest, isRepeatable, claimId, replaces, claimant: toClaimant(),
				},
				sets: toSets(text),
				ask,
				release,
				wait: async ms => sleep(ms),
				random,
			});
			if (granted.isErr()) {
				return {kind: 'refused', problem: toClaimProblem(granted.error)};
			}

			// Without a wait in between: whoever asks to join finds the claim pending or the run in the table.
			return granted.value.kind === 'granted' ? startRun(request, claimId) : {kind: 'held', holder: granted.value.claim};
		} finally {
			pending.delete(text);
			decided.resolve();
		}
	}

	/** What to do about a key that another claim holds. */
	async function joinHolder(request: KeyedRequest, holder: Claim): Promise<Claimed | 'again' | 'lost'> {
		if (!holder.claimId.startsWith(instance)) {
			return joinRemote(request, holder);
		}

		// Our own claim, and no run of it: it was given back and a witness did not hear of it.
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
		const text = toScopedKey(request);
		let replaces: string | undefined;
		for (let round = 1; round <= maxRounds; round++) {
			const local = joinLocal(request);
			if (local !== undefined) {
				return local;
			}

			const undecided = pending.get(text);
			if (undecided !== undefined) {
				await undecided.decided;
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
			const undecided = pending.get(toScopedKey(request));
			if (undecided?.claimId === request.claimId) {
				await undecided.decided;
			}
		},
	};
}
