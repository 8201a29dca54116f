/** Maps HTTP answers and faults to the failures of the engine port. */
import {err, ok, type Result} from 'neverthrow';
import {type AnswerFault, type WholeAnswer} from '../../_lib/read-answer/index.js';
import {type EngineFailure, type EngineFailureKind} from '../../../ports/engine.js';
import {type ServerId} from '../../../ports/ids.js';
import {parseFields, parseRefusal} from './parse-answers.js';

/** Creates a failure without a refusal reason. */
export function toFailure(server: ServerId, kind: EngineFailureKind, message: string): EngineFailure {
	return {
		kind, reason: undefined, server, message, retryAfterMs: undefined,
	};
}

export function toFaultFailure(server: ServerId, {kind, message}: AnswerFault): EngineFailure {
	return toFailure(server, kind === 'too-large' || kind === 'foreign' ? 'invalid' : kind, message);
}

function toRetryAfter(headers: WholeAnswer['headers']): number | undefined {
	const value = Number(headers['retry-after-ms'] ?? Number.NaN);
	return Number.isFinite(value) && value >= 0 ? value : undefined;
}

/** Maps an answer with an unexpected status to a failure. */
export function toStatusFailure(server: ServerId, {status, headers, text}: WholeAnswer): EngineFailure {
	const fields = parseFields(text);
	if (status === 410) {
		return toFailure(server, 'gone', 'the server no longer has the requested stream or KV cache');
	}

	const refusal = (status === 409 || status === 503) && fields !== undefined ? parseRefusal(fields) : undefined;
	return refusal === undefined
		? toFailure(server, 'invalid', `status ${status} violates the protocol`)
		: {
			kind: 'refused', ...refusal, server, retryAfterMs: toRetryAfter(headers),
		};
}

/** Parses an answer with the expected status; any other status becomes a failure. */
export function toAnswer<T>(server: ServerId, answer: WholeAnswer, expected: number, parse: (fields: Record<string, unknown>) => T | undefined): Result<T, EngineFailure> {
	if (answer.status !== expected) {
		return err(toStatusFailure(server, answer));
	}

	const fields = parseFields(answer.text);
	const value = fields === undefined ? undefined : parse(fields);
	return value === undefined ? err(toFailure(server, 'invalid', 'the answer violates the protocol')) : ok(value);
}
