/**
 * Judges whether an ended request met the target of its rule.
 */
import {type BadCause} from '../../_lib/slo/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type LatencyTarget} from '../../ports/config.js';
import {type WorkspaceId} from '../../ports/ids.js';
import {type ServiceClass} from '../../ports/outcome.js';

/**
 * How a request ended.
 *
 * - `complete`: the whole answer went to the caller.
 * - `refused`: the request was refused for a reason that is not the caller's fault, such as a full queue.
 * - `failed`: the answer broke off.
 * - `gone`: the caller disconnected before the end.
 */
export type SampleEnd = 'complete' | 'refused' | 'failed' | 'gone';

export type SloSample = {
	class: ServiceClass;
	workspace: WorkspaceId;
	rule: string;
	end: SampleEnd;
	/** Time from the request's last byte to the first token (first body byte, for a plain service); `undefined` if none came. */
	firstTokenMs: Milliseconds | undefined;
	/** Mean time between the tokens of the answer; `undefined` with fewer than two tokens. */
	perTokenMs: Milliseconds | undefined;
	/** Time to the end of the request, however it ended. */
	completeMs: Milliseconds;
	/** Target of the rule that matched the request. */
	target: LatencyTarget;
};

/** Causes for which a request is bad; an empty list for a good request. `undefined` for a request that can't be judged and is not counted. */
export type Verdict = readonly BadCause[] | undefined;

/**
 * Judges a request. A request is good if it was answered completely and within all
 * three times of its target. A request whose caller disconnected before the target
 * had passed is not counted. If the caller disconnected later, the request is bad:
 * requests that hang can only be noticed by callers who give up.
 *
 * @param sample - End and latencies of the request.
 * @returns Causes for which the request is bad, or `undefined` when it is not counted.
 *
 * @example
 * ```ts
 * const target = {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000};
 * judgeSample({class: 'quick', workspace: 'w', rule: 'r', end: 'complete', firstTokenMs: 1500, perTokenMs: 20, completeMs: 3000, target});
 * // => ['lateFirstToken']
 * ```
 */
export function judgeSample(sample: SloSample): Verdict {
	const {end, target} = sample;
	const missed = findMissedTargets(sample);
	switch (end) {
		case 'complete': {
			return missed;
		}

		case 'refused':
		case 'failed': {
			return [end, ...missed];
		}

		case 'gone': {
			const waitedMs = sample.firstTokenMs ?? sample.completeMs;
			const isLate = missed.length > 0 || waitedMs > target.firstTokenMs;
			return isLate ? withFirstToken(missed, waitedMs > target.firstTokenMs) : undefined;
		}
	}
}

function findMissedTargets({firstTokenMs, perTokenMs, completeMs, end, target}: SloSample): BadCause[] {
	const causes: BadCause[] = [];
	if (firstTokenMs !== undefined && firstTokenMs > target.firstTokenMs) {
		causes.push('lateFirstToken');
	}

	if (perTokenMs !== undefined && perTokenMs > target.perTokenMs) {
		causes.push('latePerToken');
	}

	if (end !== 'refused' && completeMs > target.completeMs) {
		causes.push('lateComplete');
	}

	return causes;
}

function withFirstToken(causes: readonly BadCause[], isLate: boolean): readonly BadCause[] {
	return isLate && !causes.includes('lateFirstToken') ? ['lateFirstToken', ...causes] : causes;
}
