import {type SloSample} from '../../domain/create-slo-ledger/index.js';
import {type SampleEnd} from '../../domain/judge-sample/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type Rule} from '../../ports/config.js';
import {type WorkspaceId} from '../../ports/ids.js';

/** Outcome of a request, as recorded by the entry that served it. */
export type SloRequestOutcome = {
	workspace: WorkspaceId;
	rule: {name: string; then: Pick<Rule['then'], 'class' | 'target'>};
	end: 'complete' | 'refused' | 'failed' | 'caller-gone';
	firstTokenMs: Milliseconds | undefined;
	completeMs: Milliseconds;
	outputTokens: number;
};

const sampleEnds: Readonly<Record<SloRequestOutcome['end'], SampleEnd>> = {
	complete: 'complete', refused: 'refused', failed: 'failed', 'caller-gone': 'gone',
};

/**
 * Turns an ended request into a sample of the ledger.
 *
 * @param ended - Outcome of the request.
 * @returns The sample; the time between tokens is the mean over the answer.
 */
export function toSloSample(ended: SloRequestOutcome): SloSample {
	const {rule, firstTokenMs, completeMs, outputTokens} = ended;
	const gaps = outputTokens - 1;
	return {
		class: rule.then.class,
		workspace: ended.workspace,
		rule: rule.name,
		end: sampleEnds[ended.end],
		firstTokenMs,
		perTokenMs: firstTokenMs === undefined || gaps < 1 ? undefined : (completeMs - firstTokenMs) / gaps,
		completeMs,
		target: rule.then.target,
	};
}
