/** Bounds of time on the steps of an attempt. */
import {err, type Result, type ResultAsync} from 'neverthrow';
import {type EngineFailure} from '../../../ports/engine.js';
import {type Milliseconds} from '../../../ports/clock.js';

/** Longest delay that a timer of the platform takes. */
const maxTimerMs = 2_147_483_647;
/** A timer that fires this much too late tells that the process was paused. */
const pauseThresholdMs = 500;
/** Time after a pause in which what arrived meanwhile is read. */
const wakeGraceMs = 250;

export type StepSignal = {
	signal: AbortSignal;
	/** Gives the next step its time; a step whose time is over before it starts fires at once. */
	arm: (limitMs: Milliseconds) => void;
	/** Starts the time of the present step again. */
	refresh: () => void;
	/** Ends the time of the present step. */
	disarm: () => void;
	isTimedOut: () => boolean;
	/** Must be called when the last step is over, or the parent keeps the signal. */
	close: () => void;
};

/**
 * Creates a signal that fires with its parent, or when the time of a step is
 * over. One signal serves all steps of an attempt, because a step that is out
 * of time ends the attempt.
 *
 * After a pause of this process timers fire before sockets are read. The silence
 * was then this process's own: giving the stream up would throw away an answer
 * that waits in the socket, and that its engine has already let go of. So a late
 * timer gives the sockets a moment first.
 *
 * @param parent - Signal of the whole request.
 * @param now - Monotonic clock.
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
	/** The step's own time ran out. */
	isTimedOut: boolean;
	/** No byte was sent: the step's time was over before it began. */
	isUnsent: boolean;
};

/**
 * Runs one call to an engine within a time. Nothing is sent when the time is
 * already over, as it is after a pause of the process.
 *
 * @param step - Signal of the attempt.
 * @param options - Time for the call, and the server's name for the failure.
 * @param call - The call; it gets the signal.
 * @returns What the call returned, or its failure.
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
		kind: 'aborted', reason: undefined, server, message: 'the time for this step was over before it began', retryAfterMs: undefined, isTimedOut, isUnsent: true,
	});
}
