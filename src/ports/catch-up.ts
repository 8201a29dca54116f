/**
 * How a host that starts, or comes back, is told what the other hosts know. It asks
 * some of them, and each answers at once with all that it has to tell, in as many
 * messages as that takes.
 */

/** Why a host may lack what the others know: its process started, stood still, or heard no other host. */
export type CatchUpCause = 'start' | 'pause' | 'isolation';

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
	/** Whether the sender has itself just started, so that it may know nothing. */
	isStarting: boolean;
};

export type CatchUpNote = CatchUpQuestion | CatchUpAnswer;
