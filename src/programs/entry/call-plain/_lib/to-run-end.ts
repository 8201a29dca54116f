import {type RunEnd} from '../../../../domain/judge-run-end/index.js';
import {type PlainEnd, type PlainFault} from '../../send-plain/index.js';
import {mayHaveStarted} from './decide-retry.js';

/**
 * @param fault - Why a call that carried the request, or had its prompt computed, failed.
 * @returns How the run ended.
 */
export function toFailedRunEnd(fault: PlainFault): RunEnd {
	if (!mayHaveStarted(fault)) {
		return {kind: 'not-run'};
	}

	if (fault.kind === 'failed-answer') {
		return {kind: 'failed'};
	}

	return {kind: fault.kind === 'broken' && fault.isClosed === true ? 'closed' : 'without-answer'};
}

/**
 * @param ended - How a call that carried the request ended.
 * @returns How the run ended.
 */
export function toRunEnd(ended: PlainEnd): RunEnd {
	switch (ended.kind) {
		case 'complete': {
			return {
				kind: 'answered', status: ended.status, framing: ended.answer.framing, isRun: true,
			};
		}

		case 'caller-gone': {
			return {kind: ended.isUnsent === true ? 'not-run' : 'without-answer'};
		}

		case 'failed':
		case 'cut': {
			return toFailedRunEnd(ended.fault);
		}
	}
}
