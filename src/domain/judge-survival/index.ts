/** Decides whether a server survived a run, from what is known of the server since. */
import {type Milliseconds} from '../../ports/clock.js';

/** A run whose end did not show whether the server survived it; monotonic milliseconds. */
export type JudgedRun = {
	startedAt: Milliseconds;
	/** Time after which the server was at work on it no more. */
	overAt: Milliseconds;
};

/** Period within which a server ended, monotonic milliseconds. */
export type EndPeriod = {from: Milliseconds; to: Milliseconds};

/** What a host knows of a server. */
export type ServerLife = {
	/** Start of the latest call that the server answered; `-Infinity` if it answered none. */
	answeredAt: Milliseconds;
	/** When the server ended, as far as that is known. */
	ended?: EndPeriod;
};

export type Survival = {kind: 'survived'} | {kind: 'crashed'; at: Milliseconds} | {kind: 'unknown'};

/**
 * Judges a run.
 *
 * An answer shows that the server lived when the call began. That proves that it
 * survived a run only if it was done with the run by then: a server may go on with a
 * request after the caller's connection was closed, and answer others meanwhile.
 *
 * @param run - The run.
 * @param server - What is known of its server.
 * @returns Whether the server survived, with the latest time of its end if it did not.
 *
 * @example
 * ```ts
 * const run = {startedAt: 0, overAt: 1250};
 * judgeSurvival(run, {answeredAt: 300}); // => {kind: 'unknown'}
 * judgeSurvival(run, {answeredAt: 300, ended: {from: 500, to: 600}}); // => {kind: 'crashed', at: 600}
 * judgeSurvival(run, {answeredAt: 1300}); // => {kind: 'survived'}
 * ```
 */
export function judgeSurvival({startedAt, overAt}: JudgedRun, {answeredAt, ended}: ServerLife): Survival {
	if (answeredAt > overAt) {
		return {kind: 'survived'};
	}

	const isEndedMeanwhile = ended !== undefined && answeredAt <= ended.to && ended.from <= overAt && startedAt <= ended.to;
	return isEndedMeanwhile ? {kind: 'crashed', at: Math.min(ended.to, overAt)} : {kind: 'unknown'};
}
