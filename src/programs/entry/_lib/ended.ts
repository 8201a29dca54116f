import {type Outcome} from '../../../ports/outcome.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Rule} from '../../../ports/config.js';
import {type WorkspaceId} from '../../../ports/ids.js';

/** What metrics and the service-level report are told of each request that a rule decided about. */
export type EndedRequest = {
	workspace: WorkspaceId;
	rule: Rule;
	/** How it ended for the caller. */
	end: 'complete' | 'refused' | 'failed' | 'caller-gone';
	outcome: Outcome;
	/** Time from its arrival to its first token; `undefined` when there was none. */
	firstTokenMs: Milliseconds | undefined;
	/** Time from its arrival to its end. */
	completeMs: Milliseconds;
	outputTokens: number;
};
