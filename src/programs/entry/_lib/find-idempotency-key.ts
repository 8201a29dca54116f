import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {parseIdempotencyKey} from '../../../domain/parse-idempotency-key/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';

/**
 * Finds the key that names a request. Work that may not be repeated needs one;
 * for other work a key of another kind, such as client libraries send by
 * themselves, is passed over.
 *
 * @param exchange - The caller's request.
 * @param isRepeatable - Whether the work may run again.
 * @returns The key, `undefined` for a request without one, or why it can't be served.
 */
export function findIdempotencyKey(exchange: CallerExchange, isRepeatable: boolean): Result<string | undefined, Problem> {
	const parsed = parseIdempotencyKey(exchange.headers['idempotency-key']);
	if (parsed.isOk()) {
		return ok(parsed.value.key);
	}

	return isRepeatable
		? ok(undefined)
		: err({kind: parsed.error.kind === 'missing' ? 'key-required' : 'key-invalid', detail: parsed.error.message, outcome: 'not-run'});
}

/**
 * Names what a key stands for, so that a key used for other work is noticed.
 *
 * @param exchange - The caller's request.
 * @param body - Its body.
 * @returns SHA-256 over method, path and body, hex.
 */
export function toRequestDigest(exchange: CallerExchange, body: Uint8Array): string {
	return createHash('sha256').update(`${exchange.method} ${exchange.target}\n`).update(body).digest('hex');
}

/**
 * Says what is true of a request that is refused before its key was claimed,
 * for a cause that is this host's alone (no configuration yet, no room, another
 * edition of the rules). Another host may have run the work of the key; a caller
 * that was told `not-run` could send it again under a new key, and it would run
 * twice. Without a claim nothing is known, and that is what is said.
 *
 * @param problem - Why this host refuses.
 * @param headers - The caller's.
 * @returns The problem, with an outcome that claims no more than is known.
 */
export function toUnclaimedProblem(problem: Problem, headers: CallerExchange['headers']): Problem {
	return problem.outcome === 'not-run' && parseIdempotencyKey(headers['idempotency-key']).isOk()
		? {...problem, outcome: 'may-have-run'}
		: problem;
}
