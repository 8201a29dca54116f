/**
 * Claims a key: asks its witnesses and decides whether this process may run the
 * work, joins the run of another process, or must refuse.
 */
import {
	ResultAsync, err, ok, type Result,
} from 'neverthrow';
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type HostId} from '../../ports/ids.js';
import {type Outcome} from '../../ports/outcome.js';
import {
	type AbstainReason, type Claim, type ClaimAnswer, type ClaimRequest, type ScopedKey,
} from '../create-claim-witness/index.js';
import {type WitnessSet} from '../pick-witnesses/index.js';
import {type ClaimTally, tallyClaims} from '../tally-claims/index.js';

const defaultMaxRounds = 5;
const firstWaitMs = 20;
const defaultRetryAfterMs = 1000;

/** Why a witness gave no answer; the message is for logs. */
export type AskFailure = {message: string};

export type ClaimKeyOptions = {
	/** The claim to make. Its `claimId` must be new for each call. */
	request: ClaimRequest;
	/** Witnesses of the key: one set, or two while the host list has just changed. */
	sets: readonly WitnessSet[];
	/** Asks one witness; must end within a timeout of its own. */
	ask: (slot: HostId, request: ClaimRequest) => ResultAsync<ClaimAnswer, AskFailure>;
	/** Tells one witness that a claim will never be dispatched; may be lost. */
	release: (slot: HostId, request: ScopedKey & {claimId: string}) => void;
	wait: (ms: Milliseconds) => Promise<void>;
	random: Random;
	/** Maximum number of rounds of asking while witnesses are split between two claims; 5 by default. */
	maxRounds?: number;
};

export type ClaimGrant =
	/** This process alone may dispatch the work. Without a quorum (`isWitnessed: false`) only repeatable work is granted, and other processes may run it too. */
	| {kind: 'granted'; isWitnessed: boolean}
	/** Another process claimed the key; its run is to be joined. */
	| {kind: 'joined'; claim: Claim};

export type ClaimRefusal =
	| {kind: 'conflict'; message: string}
	| {kind: 'refused'; outcome: Outcome; reasons: readonly AbstainReason[]; message: string; retryAfterMs: Milliseconds | undefined};

type Answers = Map<HostId, ClaimAnswer | {kind: 'failed'}>;

function listSlots(sets: readonly WitnessSet[]): HostId[] {
	return [...new Set(sets.flatMap(set => set.slots))];
}

/** Asks all witnesses at once and returns as soon as their answers decide. */
async function askAll(options: ClaimKeyOptions): Promise<{tally: ClaimTally; answers: Answers}> {
	const {request, sets, ask} = options;
	const answers: Answers = new Map();
	return new Promise(resolve => {
		const settle = () => {
			const tally = tallyClaims(sets, answers, request.digest);
			if (tally.kind !== 'pending') {
				resolve({tally, answers});
			}
		};

		const askOne = async (slot: HostId) => {
			const answer = await ask(slot, request);
			answers.set(slot, answer.unwrapOr({kind: 'failed'}));
			settle();
		};

		for (const slot of listSlots(sets)) {
			void askOne(slot);
		}

		settle();
	});
}

function releaseAll({request, sets, release}: ClaimKeyOptions) {
	for (const slot of listSlots(sets)) {
		release(slot, {workspace: request.workspace, key: request.key, claimId: request.claimId});
	}
}

function toRefusal(answers: Answers): ClaimRefusal {
	const abstained = [...answers.values()].filter(answer => answer.kind === 'abstained');
	const failed = [...answers.values()].filter(answer => answer.kind === 'failed').length;
	const reasons = [...new Set(abstained.map(answer => answer.reason))];
	const delays = abstained.map(answer => answer.retryAfterMs).filter(delay => delay !== undefined);
	const needsNewKey = reasons.includes('restarted') || reasons.includes('expired');
	return {
		kind: 'refused',
		// Without a quorum it is unknown whether an earlier request with this key ran.
		outcome: 'may-have-run',
		reasons,
		message: `Too few witnesses of this key vouch for it: ${failed} of ${answers.size} could not be asked, ${abstained.length} abstained${reasons.length > 0 ? ` (${reasons.join(', ')})` : ''}. `
			+ (needsNewKey
				? 'This key will not be run from now on; if it was never sent before, send the work with a new key.'
				: 'Send the same key again: it runs once at most.'),
		retryAfterMs: delays.length > 0 ? Math.max(...delays) : (needsNewKey ? undefined : defaultRetryAfterMs),
	};
}

async function claimInRounds(options: ClaimKeyOptions): Promise<Result<ClaimGrant, ClaimRefusal>> {
	const {request, wait, random, maxRounds = defaultMaxRounds} = options;
	for (let round = 1; ; round++) {
		const {tally, answers} = await askAll(options);
		if (tally.kind === 'granted') {
			return ok({kind: 'granted', isWitnessed: true});
		}

		if (tally.kind === 'conflict') {
			releaseAll(options);
			return err({kind: 'conflict', message: 'Idempotency-Key was used before with another body: use a new key for new work.'});
		}

		if (tally.kind === 'held') {
			// Two claims that split the witnesses would block each other for good: the one with the lower id waits and asks again, the other releases its grants.
			const goesFirst = !tally.isSettled && request.claimId < tally.claim.claimId;
			if (!goesFirst || round >= maxRounds) {
				releaseAll(options);
				return ok({kind: 'joined', claim: tally.claim});
			}

			await wait(firstWaitMs * (2 ** (round - 1)) * (0.5 + random()));
			continue;
		}

		if (request.isRepeatable) {
			return ok({kind: 'granted', isWitnessed: false});
		}

		releaseAll(options);
		return err(toRefusal(answers));
	}
}

/**
 * Claims a key for one run.
 *
 * A grant is final and needs no lease: witnesses write a claim once and keep
 * it as long as they accept the key, so a claimant that is paused between
 * grant and dispatch is still the only one that may dispatch. After
 * `joined` or an error this claim must never be dispatched; its grants are
 * released by claim id, so a late grant has no effect.
 *
 * Without a quorum the outcome is `may-have-run`, never `not-run`: the
 * unavailable witnesses may have granted another claim. Sending the
 * same key again is always safe.
 *
 * @param options - The request, its witnesses, and functions to reach them.
 * @returns `granted` or `joined`; a conflict if the key was used with another body, or a refusal if there is no quorum.
 *
 * @example
 * ```ts
 * const grant = await claimKey({request, sets: [pickWitnesses(toScopedText(request), hosts)], ask, release, wait, random});
 * if (grant.isOk() && grant.value.kind === 'granted') {
 *     // dispatch, once
 * }
 * ```
 */
export function claimKey(options: ClaimKeyOptions): ResultAsync<ClaimGrant, ClaimRefusal> {
	return new ResultAsync(claimInRounds(options));
}
