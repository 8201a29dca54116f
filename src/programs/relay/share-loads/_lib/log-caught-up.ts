import {type Log} from '../../../../adapters/log/index.js';
import {type CaughtUp} from '../../../../domain/create-catch-up/index.js';

/**
 * Logs that callers' requests no longer wait for what other hosts know.
 *
 * @param log - The log.
 * @param ended - How the wait ended.
 */
export function logCaughtUp(log: Log, {cause, tookMs, answers, isOverdue}: CaughtUp): void {
	const fields = {reason: cause, durationMs: Math.round(tookMs), count: answers};
	if (isOverdue) {
		log.warn('no other host told what it knows; this host serves without', fields);
	} else {
		log.info('caught up with other hosts', fields);
	}
}
