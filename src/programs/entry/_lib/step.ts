/** Bounds of time on the steps of an attempt. */
import {err, type Result, type ResultAsync} from 'neverthrow';
import {type EngineFailure} from '../../../ports/engine.js';
import {type Milliseconds} from '../../../ports/clock.js';

/** Longest delay that a timer of the platform takes. */
const maxTimerMs = 2_147_483_647;

export type StepSignal = {
	signal: AbortSignal;
	/** Starts the time again. */
	refresh: () => void;
	isTimedOut: () => boolean;
	/** Must be called when the step is over, or the parent keeps it. */
	close: () => void;
};

/**
 * Creates a signal that fires with its parent or when its time is over.
 *
 * @param parent - Signal of the whole request.
 * @param limitMs - Time for the step; a step whose time is over before it starts fires at once.
 * @returns The signal and its controls.
 */
export function createStepSignal(parent: AbortSignal, limitMs: Milliseconds): StepSignal {
	const controller = new AbortController();
	let isTimedOut = false;
	const onParent = () => {
		controller.abort();
	};

	const onTime = () => {
		isTimedOut = true;
		controller.abort();
	};

	const timer = setTimeout(onTime, Math.min(maxTimerMs, Math.max(0, limitMs)));
	parent.addEventListener('abort', onParent, {once: true});
	if (parent.aborted) {
		controller.abort();
	} else if (limitMs <= 0) {
		onTime();
	}

	return {
		signal: controller.signal,
		refresh() {
			timer.refresh();
		},
		isTimedOut: () => isTimedOut,
		close() {
			clearTimeout(timer);
			parent.removeEventListener('abort', onParent);
		},
	};
}

export type StepFailure = EngineFailure & {
	/** The step's own time ran out. */
	isTimedOut: boolean;
	/** No byte was sent: the step's time was over before it began. */
	isUnsent: boolean;
};

/**
 * Runs one call to an engine within a time. Nothing is sent when the time is
 * already over, as it is after a pause of the process.
 *
 * @param options - Signal of the request, time left, and the server's name for the failure.
 * @param call - The call; it gets the signal.
 * @returns What the call returned, or its failure.
 */
export async function runStep<T>(
	options: {parent: AbortSignal; limitMs: Milliseconds; server: string},
	call: (signal: AbortSignal) => ResultAsync<T, EngineFailure>,
): Promise<Result<T, StepFailure>> {
	const step = createStepSignal(options.parent, options.limitMs);
	const {aborted} = step.signal;
	try {
		if (aborted) {
			return toUnsent(options.server, step.isTimedOut());
		}

		const result = await call(step.signal);
		return result.mapErr(failure => ({...failure, isTimedOut: step.isTimedOut(), isUnsent: false}));
	} finally {
		step.close();
	}
}

function toUnsent<T>(server: string, isTimedOut: boolean): Result<T, StepFailure> {
	return err({
		kind: 'aborted', reason: undefined, server, message: 'the time for this step was over before it began', retryAfterMs: undefined, isTimedOut, isUnsent: true,
	});
}
