import {type Outcome} from '../../../ports/outcome.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Run} from './types.js';

/** What metrics and the service-level report are told of each completion that a rule decided about. */
export type EndedRequest = {
	run: Run;
	/** How it ended for the caller. */
	end: 'complete' | 'refused' | 'failed' | 'caller-gone';
	outcome: Outcome;
	/** Time from its arrival to its end. */
	completeMs: Milliseconds;
};
