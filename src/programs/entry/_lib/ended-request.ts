import {type Outcome} from '../../../ports/outcome.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Rule} from '../../../ports/config.js';
import {type WorkspaceId} from '../../../ports/ids.js';

/** What is counted of a rule. */
export type MatchedRule = {
	name: string;
	then: Pick<Rule['then'], 'class' | 'target'>;
};

/** What metrics and the service-level report are told of each request but those that are the caller's mistake. */
export type EndedRequest = {
	workspace: WorkspaceId;
	rule: MatchedRule;
	/** How it ended for the caller. */
	end: 'complete' | 'refused' | 'failed' | 'caller-gone';
	outcome: Outcome;
	/** Time from its arrival to its first token; `undefined` when there was none. */
	firstTokenMs: Milliseconds | undefined;
	/** Time from its arrival to its end. */
	completeMs: Milliseconds;
	outputTokens: number;
};
