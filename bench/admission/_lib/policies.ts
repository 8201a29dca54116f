/** Defines the compared policies: `createAdmission` with several settings, and a FIFO baseline. */
import {type Admission, createAdmission} from '../../../src/domain/create-admission/index.js';

export type Policy = Pick<Admission, 'offer' | 'finish' | 'cancel' | 'tick' | 'setCapacity' | 'noteFirstToken'>;

export type PolicyTable = {
	name: string;
	create: () => Policy;
	routers: number;
	/** Time between load reports. */
	reportEveryMs: number;
	/** Age of a load report when it arrives. */
	reportLagMs: number;
	/** Whether load reports include the places in use, so that routers can borrow free ones. */
	isUsedReported: boolean;
};

const lagged = {reportEveryMs: 500, reportLagMs: 250, isUsedReported: true};
const instant = {reportEveryMs: 10, reportLagMs: 0, isUsedReported: true};

export const policies: readonly PolicyTable[] = [
	{
		name: 'bound: 1 router, instant', create: () => createAdmission(), routers: 1, ...instant,
	},
	{
		name: '1 router', create: () => createAdmission(), routers: 1, ...lagged,
	},
	{
		name: '3 routers', create: () => createAdmission(), routers: 3, ...lagged,
	},
	{
		name: '9 routers', create: () => createAdmission(), routers: 9, ...lagged,
	},
	{
		name: '9 routers, own share only', create: () => createAdmission(), routers: 9, ...lagged, isUsedReported: false,
	},
	{
		name: '9 routers, no slack', create: () => createAdmission({slackShare: 0}), routers: 9, ...lagged,
	},
	{
		name: '9 routers, strict priority', create: () => createAdmission({slackShare: 0, batchShare: 0}), routers: 9, ...lagged,
	},
	{
		name: '9 routers, FIFO', create: createFifo, routers: 9, ...lagged,
	},
];

/** Creates a policy that admits requests in order of arrival, regardless of class and workspace, and refuses those whose deadline has passed. */
export function createFifo(): Policy {
	const pools = new Map<string, {places: number; running: Set<string>; queue: Map<string, number>}>();
	const poolOf = new Map<string, string>();

	function admitNext(name: string, now: number): string[] {
		const pool = pools.get(name)!;
		const admitted: string[] = [];
		for (const [id, deadline] of pool.queue) {
			if (pool.running.size >= pool.places) {
				break;
			}

			if (deadline > now) {
				pool.queue.delete(id);
				pool.running.add(id);
				admitted.push(id);
			}
		}

		return admitted;
	}

	function leave(id: string, now: number): string[] {
		const name = poolOf.get(id);
		if (name === undefined) {
			return [];
		}

		poolOf.delete(id);
		pools.get(name)!.running.delete(id);
		pools.get(name)!.queue.delete(id);
		return admitNext(name, now);
	}

	function toExpired(now: number): Array<{id: string; reason: 'too-late'; retryAfterMs: number}> {
		const late = [...pools.values()].flatMap(pool => [...pool.queue].filter(([, deadline]) => deadline <= now).map(([id]) => id));
		for (const id of late) {
			pools.get(poolOf.get(id)!)!.queue.delete(id);
			poolOf.delete(id);
		}

		return late.map(id => ({id, reason: 'too-late', retryAfterMs: 1000}));
	}

	return {
		offer(request, now) {
			const pool = pools.get(request.pool)!;
			if (pool.queue.size >= request.queueLimit) {
				return {kind: 'refused', reason: 'queue-full', retryAfterMs: 1000};
			}

			poolOf.set(request.id, request.pool);
			pool.queue.set(request.id, Math.min(request.deadline, request.firstTokenDeadline));
			return admitNext(request.pool, now).includes(request.id) ? {kind: 'admitted'} : {kind: 'queued', position: pool.queue.size - 1};
		},
		noteFirstToken() {/* Makes no predictions. */},
		finish(id, now, {outcome}) {
			const pool = pools.get(poolOf.get(id) ?? '');
			if (pool !== undefined && outcome === 'bounced') {
				pool.places = Math.max(1, pool.running.size - 1);
			}

			return leave(id, now);
		},
		cancel: (id, now) => leave(id, now),
		tick: now => ({admitted: [], refused: toExpired(now)}),
		setCapacity(name, {slots, share, used = slots}, now) {
			const pool = pools.get(name) ?? {places: 0, running: new Set(), queue: new Map()};
			pools.set(name, pool);
			const borrowed = pool.running.size + Math.floor((slots - used) * share * 0.5);
			pool.places = Math.min(slots, Math.max(Math.ceil(slots * share), borrowed));
			return admitNext(name, now);
		},
	};
}
