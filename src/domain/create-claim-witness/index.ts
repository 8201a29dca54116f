/**
 * Keeps, in memory only, which claimant may run a key. A claim is write-once;
 * a witness that may have lost a claim of a key abstains instead of granting.
 */
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {type Milliseconds} from '../../ports/clock.js';
import {parseIdempotencyKey} from '../parse-idempotency-key/index.js';
import {parseScopedKey, toScopedKey} from '../to-scoped-key/index.js';
import {
	type AbstainReason, type Claim, type Claimant, type ClaimAnswer, type ClaimRequest, type ClaimWitness, type ClaimWitnessOptions, type ScopedKey, type WitnessHandOver,
} from './types.js';

export type * from './types.js';

/** Maximum clock difference: two minutes for the caller's clock, two for the host's, and a second for rounding. At most one run of a key is guaranteed only within this bound. */
export const defaultClockBoundMs = (4 * msPerMinute) + msPerSecond;
export const defaultRetentionMs = (15 * msPerMinute) + defaultClockBoundMs;
const defaultMaxClaims = 200_000;
/** Maximum number of claimants whose description is shared between their claims. */
const maxClaimants = 2000;

/** A claim in the table; its workspace and key are in the table's own key. */
type Kept = Claim & {mintedAt: Milliseconds};

function toClaim({claimId, claimant, digest, isRepeatable}: Claim): Claim {
	return {
		claimId, claimant, digest, isRepeatable,
	};
}

/**
 * Creates the witness of one incarnation of a host slot.
 *
 * A restarted witness is safe because it grants only keys whose own time is later
 * than its start by more than clocks may differ. Such a key did not exist while an
 * earlier incarnation ran, unless that incarnation still runs behind a partition;
 * the quorum masks that case, see `pick-witnesses`.
 *
 * @param options - Slot, incarnation, start and bounds.
 * @returns Functions on the table; `now` is wall-clock milliseconds throughout, and may jump.
 *
 * @example
 * ```ts
 * const witness = createClaimWitness({slot: 'dvorana-a-1', incarnation: 1, startedAt: 0, clockBoundMs: 0});
 * witness.claim({workspace: 'w', key, claimId: 'c1', claimant, digest: 'd', isRepeatable: false}, now).kind; // => 'granted'
 * witness.claim({workspace: 'w', key, claimId: 'c2', claimant, digest: 'd', isRepeatable: false}, now).kind; // => 'held'
 * ```
 */
export function createClaimWitness({
	slot, incarnation, startedAt, clockBoundMs = defaultClockBoundMs, retentionMs = defaultRetentionMs, maxClaims = defaultMaxClaims, omit = [],
}: ClaimWitnessOptions): ClaimWitness {
	const table = new Map<string, Kept>();
	const claimants = new Map<string, Claimant>();
	let vouchesFrom = startedAt + clockBoundMs;
	let floor = Number.NEGATIVE_INFINITY;
	let isFrozen = false;

	// The floor never falls, so a claim dropped below it cannot be granted anew after the wall clock is set back.
	function raiseFloor(now: Milliseconds) {
		floor = Math.max(floor, now - retentionMs);
	}

	/** Returns one shared object for equal claimants: each decoded claim has an object of its own, and keeping those would make the table a third larger. */
	function share(claimant: Claimant): Claimant {
		const name = `${claimant.incarnation} ${claimant.address} ${claimant.host}`;
		const known = claimants.get(name);
		if (known !== undefined) {
			return known;
		}

		if (claimants.size >= maxClaimants) {
			claimants.clear();
		}

		claimants.set(name, claimant);
		return claimant;
	}

	function put(text: string, mintedAt: Milliseconds, {claimId, claimant, digest, isRepeatable}: Claim) {
		// Fields are written out, because a spread gives each object a property store of its own, which doubles the table's memory.
		table.set(text, {
			claimId, claimant: share(claimant), digest, isRepeatable, mintedAt,
		});
	}

	function findReason(mintedAt: Milliseconds, now: Milliseconds): AbstainReason | undefined {
		if (isFrozen && !omit.includes('freeze')) {
			return 'leaving';
		}

		if (mintedAt < floor && !omit.includes('retention-floor')) {
			return 'expired';
		}

		if (mintedAt <= vouchesFrom && !omit.includes('restart-abstention')) {
			return 'restarted';
		}

		if (mintedAt > now + clockBoundMs) {
			return 'future';
		}

		return table.size >= maxClaims ? 'full' : undefined;
	}

	function toRetryAfter(reason: AbstainReason, mintedAt: Milliseconds, now: Milliseconds): Milliseconds | undefined {
		if (reason === 'restarted') {
			return Math.max(0, vouchesFrom - now) + 1;
		}

		if (reason === 'future') {
			return mintedAt - now - clockBoundMs;
		}

		return reason === 'full' || reason === 'leaving' ? 1000 : undefined;
	}

	function canReplace(held: Kept, req: ClaimRequest): boolean {
		const isTakeOver = held.isRepeatable && req.isRepeatable && req.replaces === held.claimId && req.digest === held.digest;
		return isTakeOver || omit.includes('write-once');
	}

	function claim(req: ClaimRequest, now: Milliseconds): ClaimAnswer {
		const parsed = parseIdempotencyKey(req.key);
		if (parsed.isErr()) {
			return {
				kind: 'abstained', incarnation, reason: 'malformed', retryAfterMs: undefined,
			};
		}

		raiseFloor(now);
		const {mintedAt} = parsed.value;
		const text = toScopedKey(req);
		const held = table.get(text);
		if (held !== undefined && held.claimId !== req.claimId && !canReplace(held, req)) {
			return {kind: 'held', incarnation, claim: toClaim(held)};
		}

		const reason = findReason(mintedAt, now);
		if (reason !== undefined && (held === undefined || isFrozen)) {
			return {
				kind: 'abstained', incarnation, reason, retryAfterMs: toRetryAfter(reason, mintedAt, now),
			};
		}

		put(text, mintedAt, req);
		return {kind: 'granted', incarnation};
	}

	function release(req: ScopedKey & {claimId: string}) {
		const text = toScopedKey(req);
		const isOwn = table.get(text)?.claimId === req.claimId || omit.includes('claim-id');
		// A frozen table has already been handed over to the successor: a release that comes later only costs a retry.
		if (isOwn && (!isFrozen || omit.includes('freeze'))) {
			table.delete(text);
		}
	}

	function sweep(now: Milliseconds) {
		raiseFloor(now);
		for (const [text, kept] of table) {
			if (kept.mintedAt < floor) {
				table.delete(text);
			}
		}
	}

	function freeze(now: Milliseconds): WitnessHandOver | undefined {
		if (isFrozen) {
			return undefined;
		}

		sweep(now);
		isFrozen = true;
		return {
			slot,
			incarnation,
			vouchesFrom,
			floor,
			claims: [...table].map(([text, kept]) => ({...parseScopedKey(text), ...toClaim(kept)})),
		};
	}

	function adopt(handOver: WitnessHandOver): boolean {
		if (handOver.slot !== slot || handOver.incarnation === incarnation || isFrozen) {
			return false;
		}

		for (const handed of handOver.claims) {
			const parsed = parseIdempotencyKey(handed.key);
			if (parsed.isOk() && !table.has(toScopedKey(handed))) {
				put(toScopedKey(handed), parsed.value.mintedAt, handed);
			}
		}

		floor = Math.max(floor, handOver.floor);
		vouchesFrom = Math.min(vouchesFrom, handOver.vouchesFrom);
		return true;
	}

	return {
		claim, release, sweep, freeze, adopt,
		stats: () => ({claims: table.size, vouchesFrom, isVouching: !isFrozen}),
	};
}
