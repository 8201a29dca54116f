/** The requests in progress, for what concerns all of them: waking up, and stopping. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type EndCause} from './types.js';

export type RegisteredRun = {
	id: string;
	/** Tells the run to end. */
	abort: (cause: EndCause) => void;
	/** Whether its time has passed and its answer has not begun. */
	isOverdue: (now: Milliseconds) => boolean;
};

export type RunRegistry = {
	add: (run: RegisteredRun) => void;
	remove: (run: RegisteredRun) => void;
	size: () => number;
	/** Ends what can no longer be in time; returns how many. */
	endOverdue: (now: Milliseconds) => number;
	/** Ends everything; returns the ids of what is abandoned. */
	abandon: () => string[];
};

/** Creates an empty registry. */
export function createRunRegistry(): RunRegistry {
	const runs = new Set<RegisteredRun>();
	return {
		add(run) {
			runs.add(run);
		},
		remove(run) {
			runs.delete(run);
		},
		size: () => runs.size,
		endOverdue(now) {
			const overdue = [...runs].filter(run => run.isOverdue(now));
			for (const run of overdue) {
				run.abort('deadline-passed');
			}

			return overdue.length;
		},
		abandon() {
			const left = [...runs];
			for (const run of left) {
				run.abort('stopping');
			}

			return left.map(run => run.id);
		},
	};
}

export type RunControl = {
	/** Aborted with an {@link EndCause} as its reason. */
	signal: AbortSignal;
	/** Tells the run to end. */
	abort: (cause: EndCause) => void;
	/** Takes the run out of the registry. */
	close: () => void;
};

/**
 * Registers a run, and ends it when its caller is gone.
 *
 * @param registry - The requests in progress.
 * @param exchange - The caller's request.
 * @param isOverdue - Whether its time has passed and its answer has not begun.
 * @returns The run's signal.
 */
export function openRunControl(registry: RunRegistry, exchange: CallerExchange, isOverdue: RegisteredRun['isOverdue']): RunControl {
	const controller = new AbortController();
	const onGone = () => {
		controller.abort('caller-gone' satisfies EndCause);
	};

	const run: RegisteredRun = {
		id: exchange.requestId,
		abort(cause) {
			controller.abort(cause);
		},
		isOverdue,
	};
	registry.add(run);
	exchange.disconnectSignal.addEventListener('abort', onGone, {once: true});
	if (exchange.disconnectSignal.aborted) {
		onGone();
	}

	return {
		signal: controller.signal,
		abort: run.abort,
		close() {
			registry.remove(run);
			exchange.disconnectSignal.removeEventListener('abort', onGone);
		},
	};
}
