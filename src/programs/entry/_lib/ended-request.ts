import {type Outcome} from '../../../ports/outcome.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Rule} from '../../../ports/config.js';
import {type WorkspaceId} from '../../../ports/ids.js';

/** Fields of the matched rule that metrics use. */
export type MatchedRule = {
	name: string;
	then: Pick<Rule['then'], 'class' | 'target'>;
};

/** Report of an ended request to metrics and the service-level ledger; none is made of requests refused for a mistake of the caller. */
export type EndedRequest = {
	workspace: WorkspaceId;
	rule: MatchedRule;
	/** How the request ended for the caller. */
	end: 'complete' | 'refused' | 'failed' | 'caller-gone';
	outcome: Outcome;
	/** Time from arrival to first token; `undefined` if there was none. */
	firstTokenMs: Milliseconds | undefined;
	/** Time from arrival to end. */
	completeMs: Milliseconds;
	outputTokens: number;
};
