/**
 * Decides whether this host may give orders to backend servers. The settings name
 * the one host that does, but a running host may have been named by settings that
 * are no longer in force, and two hosts that give orders undo each other's work. So
 * a host that is named claims the orders, hosts pass the newest claim on, and a host
 * that hears of a newer claim than its own stops.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type OrderClaim} from '../../ports/order-claims.js';
import {msPerSecond} from '../../ports/units.js';

/**
 * Time from a claim until the first order. All hosts hear of the claim in three
 * rounds of messages; fencing tokens come from the wall clock, which may be five
 * seconds behind that of the host that gave orders before.
 */
const graceMs: Milliseconds = 10 * msPerSecond;

/** Time after which a claim lapses that its host has not told again. */
const lapseMs: Milliseconds = 30 * msPerSecond;

export type OrderAuthorityOptions = {
	/** `IP:port` of this host for its peers. */
	self: string;
	/** Called when this host stops giving orders, as another one claims them. */
	onYield?: (address: string) => void;
};

export type OrderAuthority = {
	/**
	 * Records whether the settings in force name this host.
	 *
	 * @param isNamed - Whether they do.
	 * @param now - Monotonic milliseconds.
	 * @param wallNow - Wall-clock milliseconds.
	 */
	noteNamed: (isNamed: boolean, now: Milliseconds, wallNow: number) => void;
	/** Records a claim that another host told or passed on. */
	noteClaim: (claim: OrderClaim, now: Milliseconds) => void;
	/** Returns the newest claim, to be told to others; `undefined` if no host claims the orders. */
	toClaim: (now: Milliseconds) => OrderClaim | undefined;
	/** Whether this host claims the orders, so that it may give some once the grace period is over. */
	isClaiming: () => boolean;
	/** Whether this host may give orders now. */
	mayGiveOrders: (now: Milliseconds) => boolean;
};

type OwnClaim = {
	sinceMs: number;
	/** Monotonic time of the claim. */
	at: Milliseconds;
};

/** A claim of another host, and when that host last told it. */
type HeardClaim = Pick<OrderClaim, 'address' | 'sinceMs'> & {toldAt: Milliseconds};

type ClaimOrder = Pick<OrderClaim, 'address' | 'sinceMs'>;

const isNewer = (a: ClaimOrder, b: ClaimOrder): boolean => a.sinceMs > b.sinceMs || (a.sinceMs === b.sinceMs && a.address > b.address);

const isSame = (a: ClaimOrder, b: ClaimOrder): boolean => a.sinceMs === b.sinceMs && a.address === b.address;

const isLive = ({toldAt}: HeardClaim, now: Milliseconds): boolean => now - toldAt <= lapseMs;

/**
 * Creates the decision of one host, which is not named yet.
 *
 * @param options - See {@link OrderAuthorityOptions}.
 * @returns See {@link OrderAuthority}.
 *
 * @example
 * ```ts
 * const authority = createOrderAuthority({self: '10.0.0.1:7380'});
 * authority.noteNamed(true, 0, 1_780_000_000_000);
 * authority.mayGiveOrders(10_000); // => true
 * authority.noteClaim({address: '10.0.0.2:7380', sinceMs: 1_780_000_011_000, ageMs: 0}, 11_000);
 * authority.mayGiveOrders(11_000); // => false
 * ```
 */
export function createOrderAuthority({self, onYield = () => undefined}: OrderAuthorityOptions): OrderAuthority {
	let isNamed = false;
	let own: OwnClaim | undefined;
	let heard: HeardClaim | undefined;

	const toLive = (now: Milliseconds): HeardClaim | undefined => heard !== undefined && isLive(heard, now) ? heard : undefined;

	function yieldToNewer(now: Milliseconds): void {
		const other = toLive(now);
		if (own !== undefined && other !== undefined && isNewer(other, {address: self, sinceMs: own.sinceMs})) {
			own = undefined;
			onYield(other.address);
		}
	}

	return {
		noteNamed(isNamedNow, now, wallNow) {
			const isNewlyNamed = isNamedNow && !isNamed;
			isNamed = isNamedNow;
			if (!isNamed) {
				own = undefined;
			} else if (isNewlyNamed || (own === undefined && toLive(now) === undefined)) {
				own = {sinceMs: wallNow, at: now};
			}

			yieldToNewer(now);
		},
		noteClaim({address, sinceMs, ageMs}, now) {
			if (address === self) {
				return;
			}

			const claim = {address, sinceMs, toldAt: now - ageMs};
			const before = toLive(now);
			if (before === undefined || isNewer(claim, before) || (isSame(claim, before) && claim.toldAt > before.toldAt)) {
				heard = claim;
			}

			yieldToNewer(now);
		},
		toClaim(now) {
			if (own !== undefined) {
				return {address: self, sinceMs: own.sinceMs, ageMs: 0};
			}

			const other = toLive(now);
			return other && {address: other.address, sinceMs: other.sinceMs, ageMs: now - other.toldAt};
		},
		isClaiming: () => own !== undefined,
		mayGiveOrders: now => own !== undefined && now - own.at >= graceMs,
	};
}
