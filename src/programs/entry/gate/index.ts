/**
 * Lets requests wait for admission: turns the decisions of the admission into one
 * promise for each request.
 */
import {err, ok, type Result} from 'neverthrow';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Config} from '../../../ports/config.js';
import {type RequestId, type ZoneId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {
	type Admission, type AdmissionRequest, type FinishOutcome, type PoolStatus, type Refusal,
} from '../../../domain/create-admission/index.js';
import {toPoolCapacity} from '../../../domain/to-pool-capacity/index.js';

/** Why a request was not admitted: refused by the admission, or aborted while it waited. */
export type GateRefusal = Refusal | {reason: 'gone'};

export type Gate = {
	/** Resolves when the request is admitted or refused. */
	enter: (request: AdmissionRequest, signal: AbortSignal) => Promise<Result<void, GateRefusal>>;
	noteFirstToken: (id: RequestId) => void;
	/** Ends an admitted request; `gone` removes it in whatever state it is. */
	leave: (id: RequestId, end: FinishOutcome | 'gone') => void;
	setView: (view: FleetView) => void;
	/** Admits and refuses waiting requests; to be called several times a second. */
	tick: () => void;
	/** Mean time for which requests of a pool occupy their slots, milliseconds; `undefined` before the first has ended. */
	meanHoldMs: (pool: string) => Milliseconds | undefined;
	waiting: () => number;
	status: () => PoolStatus[];
};

type Waiter = (result: Result<void, GateRefusal>) => void;

/**
 * Creates the gate of one entry process.
 *
 * @param options - The admission that decides, the zone of this host, and the monotonic clock.
 * @returns The gate.
 */
export function createGate(options: {admission: Admission; zone: ZoneId; now: () => Milliseconds}): Gate {
	const {admission, zone, now} = options;
	const waiters = new Map<RequestId, Waiter>();
	let view: FleetView | undefined;
	let config: Config | undefined;
	let poolNames: ReadonlySet<string> = new Set();

	function settle(id: RequestId, result: Result<void, GateRefusal>): void {
		const waiter = waiters.get(id);
		waiters.delete(id);
		waiter?.(result);
	}

	function admit(ids: readonly RequestId[]): void {
		for (const id of ids) {
			settle(id, ok());
		}
	}

	/**
	 * Removes pools that are no longer in the configuration. Requests that wait for
	 * such a pool are refused at once; otherwise they would wait until they miss
	 * their targets. Repeated with each view, because a pool with running requests is
	 * removed only after they have ended.
	 */
	function removeMissingPools({accepted}: FleetView): void {
		if (accepted === undefined) {
			return;
		}

		if (accepted.config !== config) {
			config = accepted.config;
			poolNames = new Set(config.pools.map(pool => pool.name));
		}

		admission.keepPools(poolNames, now());
	}

	function applyView(): void {
		if (view === undefined) {
			return;
		}

		removeMissingPools(view);
		for (const {pool, ...capacity} of toPoolCapacity(view, zone)) {
			admit(admission.setCapacity(pool, capacity, now()));
		}

		view = undefined;
	}

	async function wait(id: RequestId, signal: AbortSignal): Promise<Result<void, GateRefusal>> {
		return new Promise(resolve => {
			const onAbort = () => {
				admit(admission.cancel(id, now()));
				settle(id, err({reason: 'gone'}));
			};

			waiters.set(id, result => {
				signal.removeEventListener('abort', onAbort);
				resolve(result);
			});
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}

	return {
		async enter(request, signal) {
			if (signal.aborted) {
				return err({reason: 'gone'});
			}

			applyView();
			const answer = admission.offer(request, now());
			if (answer.kind === 'refused') {
				return err(answer);
			}

			return answer.kind === 'admitted' ? ok() : wait(request.id, signal);
		},
		noteFirstToken(id) {
			admission.noteFirstToken(id, now());
		},
		leave(id, end) {
			admit(end === 'gone' ? admission.cancel(id, now()) : admission.finish(id, now(), {outcome: end}));
		},
		setView(next) {
			view = next;
		},
		tick() {
			applyView();
			const {admitted, refused} = admission.tick(now());
			admit(admitted);
			for (const {id, ...refusal} of refused) {
				settle(id, err(refusal));
			}
		},
		meanHoldMs: admission.meanHoldMs,
		waiting: () => waiters.size,
		status: () => admission.status(now()),
	};
}
