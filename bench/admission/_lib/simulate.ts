/** Simulates one policy in one scenario on a logical clock. */
import {type PoolCapacity} from '../../../src/domain/create-admission/index.js';
import {
	type Arrival, createRandom, type Scenario, toArrivals,
} from './arrivals.js';
import {createAgenda} from './create-agenda.js';
import {
	type Backend, createBackend, type Stage, type WasteCause, type Work,
} from './create-backend.js';
import {toHoldMs} from './fleets.js';
import {type Policy, type PolicyTable} from './policies.js';

export type Fate = 'good' | 'late' | 'refused' | 'caller-gone' | 'failed';

export type RequestResult = {
	arrival: Arrival;
	fate: Fate;
	/** Time to the first token; `undefined` without one. */
	firstTokenMs: number | undefined;
	/** Time until the request started or was refused. */
	waitMs: number;
	bounces: number;
	prefillMs: number;
	/** Prefill time whose result was not used, by cause. */
	wastedMs: Readonly<Record<WasteCause, number>>;
	/** Time for which the request held a decode place. */
	heldMs: number;
	/** Stage of the request when its caller cancelled; `undefined` if it did not. */
	leftAt: Stage | 'waiting' | undefined;
};

const tickEveryMs = 50;
const queuedPerPool = 360;
const bounceDelayMs = 40;
/** Index of the router in the lost zone. */
const lostRouter = 1;

type Tracked = RequestResult & {works: Work[]; isOver: boolean};

const noWaste: Readonly<Record<WasteCause, number>> = {
	'caller-gone': 0, expired: 0, hedge: 0, stalled: 0,
};

/** Longer than any target. */
const unboundedMs = 1e9;

/**
 * Simulates one run.
 *
 * @param scenario - Load and faults.
 * @param table - Policy and number of routers that run it.
 * @param options - `exemptId` names one request that is never refused for its predicted lateness, to show what its refusal prevented.
 * @returns Result of each measured request.
 */
export function simulate(scenario: Scenario, table: PolicyTable, options: {exemptId?: string} = {}): RequestResult[] {
	const agenda = createAgenda();
	const random = createRandom(scenario.seed + 1);
	const faults = {
		slowFactor: scenario.slowFactor, stallPart: scenario.stallPart ?? 0, stallMs: scenario.stallMs ?? 0, giveUpAfterMs: scenario.giveUpAfterMs ?? Infinity,
	};
	const backends = new Map(scenario.fleet.pools.map(pool => [pool.name, createBackend(pool, agenda, faults, random)]));
	const routers = Array.from({length: table.routers}, () => table.create());
	const arrivals = toArrivals(scenario);
	const tracked = new Map<string, Tracked>();
	const {loss} = scenario;
	const endsAt = scenario.endsAtMs + 120_000;

	for (const arrival of arrivals) {
		const router = toRouter(arrival);
		const request: Tracked = {
			arrival, fate: 'failed', firstTokenMs: undefined, waitMs: 0, bounces: 0, prefillMs: 0, wastedMs: noWaste, heldMs: 0, leftAt: undefined, works: [], isOver: false,
		};
		tracked.set(arrival.id, request);
		agenda.schedule(arrival.at, () => {
			offer(router, request);
		});
		agenda.schedule(arrival.leavesAt, () => {
			leave(router, request);
		});
	}

	/** Picks the router of an arrival; the load balancer sends nothing to a lost router. */
	function toRouter({routerChoice, at}: Arrival): Policy {
		const first = Math.floor(routerChoice * routers.length);
		return routers[first === lostRouter && at >= (loss?.atMs ?? Infinity) ? (first + 1 + (Math.floor(routerChoice * 1e6) % (routers.length - 1))) % routers.length : first]!;
	}

	function loseZone(): void {
		for (const request of tracked.values()) {
			if (!request.isOver && request.arrival.at < agenda.now && Math.floor(request.arrival.routerChoice * routers.length) === lostRouter) {
				leave(routers[lostRouter]!, request);
			}
		}

		for (const backend of backends.values()) {
			backend.lose();
		}
	}

	/** Returns the capacity of a pool that routers are told. Lost places and the share of the lost router count until their loss is known. */
	function toCapacity(backend: Backend): PoolCapacity {
		const lostForMs = agenda.now - (loss?.atMs ?? Infinity);
		const isPlaceLossKnown = lostForMs >= (loss?.placesKnownAfterMs ?? Infinity);
		const slots = isPlaceLossKnown ? backend.slotsLeft : backend.slots;
		// Servers that no longer report count as full.
		const used = backend.usedLeft + (lostForMs >= 0 && !isPlaceLossKnown ? backend.slots - backend.slotsLeft : 0);
		const share = 1 / (routers.length - (lostForMs >= (loss?.shareKnownAfterMs ?? Infinity) ? 1 : 0));
		return table.isUsedReported ? {slots, share, used} : {slots, share};
	}

	function offer(router: Policy, request: Tracked): void {
		const {arrival} = request;
		if (request.isOver) {
			return;
		}

		const exemptMs = arrival.id === options.exemptId ? unboundedMs : 0;
		const answer = router.offer({
			id: arrival.id,
			pool: arrival.pool,
			class: arrival.class,
			workspace: arrival.workspace,
			deadline: arrival.at + arrival.shape.completeMs + exemptMs,
			firstTokenDeadline: arrival.at + arrival.shape.firstTokenMs + exemptMs,
			promptTokens: arrival.shape.promptTokens,
			maxTokens: arrival.shape.outputTokens,
			queueLimit: Math.ceil(queuedPerPool / table.routers),
		}, agenda.now);
		if (answer.kind === 'admitted') {
			start(router, request);
		}

		if (answer.kind === 'refused') {
			end(request, 'refused');
		}
	}

	/** Starts one copy of the request. The copy that generates the first token continues; any other copy is cancelled. */
	function startCopy(router: Policy, request: Tracked): boolean {
		const {arrival} = request;
		const backend = backends.get(arrival.pool)!;
		const work = backend.start(arrival, {
			onFirstToken() {
				if (work?.stage !== 'decode' || request.firstTokenMs !== undefined) {
					return;
				}

				request.firstTokenMs = agenda.now - arrival.at;
				router.noteFirstToken(arrival.id, agenda.now);
				for (const other of request.works.filter(each => each !== work && each.stage !== 'ended')) {
					backend.cancel(other, 'hedge');
				}
			},
			onGivenUp() {
				if (!request.isOver && !startCopy(router, request)) {
					end(request, 'failed');
					startAll(router, router.finish(arrival.id, agenda.now, {outcome: 'failed'}));
				}
			},
			onEnd(outcome) {
				if (request.works.every(each => each.stage === 'ended')) {
					end(request, outcome === 'completed' ? toFate(request, agenda.now) : 'failed');
					startAll(router, router.finish(arrival.id, agenda.now, {outcome}));
				}
			},
		});
		request.works.push(...(work === undefined ? [] : [work]));
		return work !== undefined;
	}

	function start(router: Policy, request: Tracked): void {
		const {arrival} = request;
		request.waitMs = agenda.now - arrival.at;
		if (!startCopy(router, request)) {
			request.bounces += 1;
			agenda.schedule(agenda.now + (bounceDelayMs * random()), () => {
				offer(router, request);
			});
			startAll(router, router.finish(arrival.id, agenda.now, {outcome: 'bounced'}));
			return;
		}

		if (scenario.hedgeAfterMs !== undefined && arrival.class === 'quick') {
			agenda.schedule(agenda.now + scenario.hedgeAfterMs, () => {
				if (!request.isOver && request.firstTokenMs === undefined) {
					startCopy(router, request);
				}
			});
		}
	}

	function startAll(router: Policy, ids: readonly string[]): void {
		for (const id of ids) {
			start(router, tracked.get(id)!);
		}
	}

	function leave(router: Policy, request: Tracked): void {
		if (request.isOver) {
			return;
		}

		request.leftAt = request.works.at(-1)?.stage ?? 'waiting';
		if (scenario.isCancelIgnored === true && request.works.length > 0) {
			return;
		}

		for (const work of request.works.filter(each => each.stage !== 'ended')) {
			backends.get(request.arrival.pool)!.cancel(work, 'caller-gone');
		}

		end(request, 'caller-gone');
		startAll(router, router.cancel(request.arrival.id, agenda.now));
	}

	function end(request: Tracked, fate: Fate): void {
		request.isOver = true;
		request.fate = fate;
		for (const {prefillMs, wasted} of request.works) {
			request.prefillMs += prefillMs;
			if (wasted !== 'none') {
				request.wastedMs = {...request.wastedMs, [wasted]: request.wastedMs[wasted] + prefillMs};
			}
		}

		if (request.works.length > 0) {
			request.heldMs = agenda.now - request.arrival.at - request.waitMs;
		} else {
			request.waitMs = agenda.now - request.arrival.at;
		}
	}

	function report(name: string, backend: Backend): void {
		const capacity = toCapacity(backend);
		agenda.schedule(agenda.now + table.reportLagMs, () => {
			for (const router of routers) {
				startAll(router, router.setCapacity(name, capacity, agenda.now));
			}
		});
		if (agenda.now < endsAt) {
			agenda.schedule(agenda.now + table.reportEveryMs, () => {
				report(name, backend);
			});
		}
	}

	function tick(router: Policy): void {
		const {admitted, refused} = router.tick(agenda.now);
		startAll(router, admitted);
		for (const {id} of refused) {
			end(tracked.get(id)!, 'refused');
		}

		if (agenda.now < endsAt) {
			agenda.schedule(agenda.now + tickEveryMs, () => {
				tick(router);
			});
		}
	}

	for (const [name, backend] of backends) {
		for (const router of routers) {
			router.setCapacity(name, {slots: backend.slots, share: 1 / routers.length}, 0);
		}

		report(name, backend);
	}

	for (const router of routers) {
		tick(router);
	}

	if (loss !== undefined) {
		agenda.schedule(loss.atMs, loseZone);
	}

	agenda.run();
	return [...tracked.values()].filter(({arrival}) => arrival.isMeasured);
}

function toFate({arrival, firstTokenMs}: Tracked, now: number): Fate {
	const isGood = firstTokenMs !== undefined && firstTokenMs <= arrival.shape.firstTokenMs && now - arrival.at <= arrival.shape.completeMs;
	return isGood ? 'good' : 'late';
}

/** Returns the place time, in milliseconds, that a request needs; used to weight results. */
export function toNeedMs({arrival}: RequestResult): number {
	return toHoldMs(arrival.shape);
}
