/** Timeouts of the steps of an attempt. */
import {err, type Result, type ResultAsync} from 'neverthrow';
import {type EngineFailure} from '../../../ports/engine.js';
import {type Milliseconds} from '../../../ports/clock.js';

/** Longest delay that `setTimeout` accepts. */
const maxTimerMs = 2_147_483_647;
/** Delay of a timer beyond its due time that shows that the process was paused. */
const pauseThresholdMs = 500;
/** Time after a pause in which data that arrived during the pause is read. */
const wakeGraceMs = 250;

export type StepSignal = {
	signal: AbortSignal;
	/** Starts the timeout of the next step; a limit of 0 or less fires at once. */
	arm: (limitMs: Milliseconds) => void;
	/** Restarts the timeout of the current step. */
	refresh: () => void;
	/** Clears the timeout of the current step. */
	disarm: () => void;
	isTimedOut: () => boolean;
	/** Removes the listener from the parent signal; to be called after the last step, or the listener leaks. */
	close: () => void;
};

/**
 * Creates a signal that aborts with its parent, or when a step times out. All
 * steps of an attempt share one signal, because a step that times out ends the
 * attempt.
 *
 * After a pause of this process, timers fire before sockets are read. To time
 * out then would lose an answer that is already in the socket, and that its
 * engine no longer holds. A timer that fires late therefore waits a short grace
 * period, in which the sockets are read, before the step times out.
 *
 * @param parent - Signal of the whole request.
 * @param now - Monotonic clock, milliseconds.
 * @returns The signal and its controls.
 */
export function createStepSignal(parent: AbortSignal, now: () => Milliseconds): StepSignal {
	const controller = new AbortController();
	let isTimedOut = false;
	let timer: NodeJS.Timeout | undefined;
	let currentLimitMs = 0;
	let dueAt = 0;
	const onParent = () => {
		controller.abort();
	};

	const startTimer = (limitMs: Milliseconds) => {
		clearTimeout(timer);
		currentLimitMs = Math.min(maxTimerMs, limitMs);
		dueAt = now() + currentLimitMs;
		timer = setTimeout(onTimeout, currentLimitMs);
	};

	function onTimeout(): void {
		if (now() - dueAt > pauseThresholdMs) {
			startTimer(wakeGraceMs);
			return;
		}

		isTimedOut = true;
		controller.abort();
	}

	parent.addEventListener('abort', onParent, {once: true});
	if (parent.aborted) {
		controller.abort();
	}

	return {
		signal: controller.signal,
		arm(limitMs) {
			if (limitMs > 0) {
				startTimer(limitMs);
			} else {
				isTimedOut = true;
				controller.abort();
			}
		},
		refresh() {
			dueAt = now() + currentLimitMs;
			timer?.refresh();
		},
		disarm() {
			clearTimeout(timer);
			timer = undefined;
		},
		isTimedOut: () => isTimedOut,
		close() {
			clearTimeout(timer);
			parent.removeEventListener('abort', onParent);
		},
	};
}

export type StepFailure = EngineFailure & {
	/** Whether the step timed out. */
	isTimedOut: boolean;
	/** Whether no byte was sent, because no time was left when the step began. */
	isUnsent: boolean;
};

/**
 * Runs one call to an engine with a timeout. Nothing is sent if no time is left,
 * for example after a pause of the process.
 *
 * @param step - Signal of the attempt.
 * @param options - Timeout of the call in milliseconds, and the server to name in a failure.
 * @param call - Makes the call with the given signal.
 * @returns Result of the call, or its failure.
 */
export async function runStep<T>(
	step: StepSignal,
	options: {limitMs: Milliseconds; server: string},
	call: (signal: AbortSignal) => ResultAsync<T, EngineFailure>,
): Promise<Result<T, StepFailure>> {
	step.arm(options.limitMs);
	if (step.signal.aborted) {
		return toUnsent(options.server, step.isTimedOut());
	}

	const result = await call(step.signal);
	step.disarm();
	return result.mapErr(failure => ({...failure, isTimedOut: step.isTimedOut(), isUnsent: false}));
}

function toUnsent<T>(server: string, isTimedOut: boolean): Result<T, StepFailure> {
	return err({
		kind: 'aborted', reason: undefined, server, message: 'no time was left when this step began', retryAfterMs: undefined, isTimedOut, isUnsent: true,
	});
}
