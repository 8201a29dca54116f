/**
 * How a host that starts, or comes back, is told what the other hosts know. It asks
 * some of them, and each answers at once with all that it has to tell, in as many
 * messages as that takes.
 */

/** Why a host may lack what the others know: its process started, stood still, or heard no other host. */
export type CatchUpCause = 'start' | 'pause' | 'isolation';

/**
 * How complete a host's knowledge is: `current`; `behind` if it was away, or learnt
 * only from hosts that were, and has not been told yet what it missed; `starting` if
 * its process may know nothing at all.
 */
export const knowledgeStates = ['current', 'behind', 'starting'] as const;
export type Knowledge = (typeof knowledgeStates)[number];

/** A question for all that a host knows; the answer has its number. */
export type CatchUpQuestion = {kind: 'ask'; id: number};

/** One message of an answer. */
export type CatchUpAnswer = {
	kind: 'answer';
	id: number;
	/** Position of the message among those of the answer, from 0. */
	part: number;
	/** Number of messages of the answer. */
	parts: number;
	/** How complete the sender's own knowledge is. */
	knowledge: Knowledge;
};

export type CatchUpNote = CatchUpQuestion | CatchUpAnswer;
