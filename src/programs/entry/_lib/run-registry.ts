/** Registry of the requests in progress, to end them after a pause of the process or at its stop. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type EndCause} from './types.js';

export type RegisteredRun = {
	id: string;
	/** Tells the run to end. */
	abort: (cause: EndCause) => void;
	/** Whether the deadline has passed and the answer has not begun. */
	isOverdue: (now: Milliseconds) => boolean;
};

export type RunRegistry = {
	add: (run: RegisteredRun) => void;
	remove: (run: RegisteredRun) => void;
	size: () => number;
	/** Aborts all overdue runs, and returns their number. */
	endOverdue: (now: Milliseconds) => number;
	/** Aborts all runs, and returns their ids. */
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
 * Registers a run, and aborts it when its caller disconnects.
 *
 * @param registry - The requests in progress.
 * @param exchange - The caller's request.
 * @param isOverdue - Whether the deadline has passed and the answer has not begun.
 * @returns The run's signal and its controls.
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
