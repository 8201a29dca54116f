import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {parseIdempotencyKey} from '../../../domain/parse-idempotency-key/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';

/**
 * Finds the idempotency key of a request. A request that must not be repeated
 * needs a valid key. For a repeatable request, a key of another format, such as
 * client libraries add by themselves, is ignored.
 *
 * @param exchange - The caller's request.
 * @param isRepeatable - Whether the request may run more than once.
 * @returns The key, `undefined` for a request without one, or the problem with a missing or invalid key.
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
 * Computes the digest of a keyed request, which shows when a key is reused for
 * another request.
 *
 * @param exchange - The caller's request.
 * @param body - Body of the request.
 * @returns SHA-256 over method, path and body, in hex.
 */
export function toRequestDigest(exchange: CallerExchange, body: Uint8Array): string {
	return createHash('sha256').update(`${exchange.method} ${exchange.target}\n`).update(body).digest('hex');
}

/**
 * Changes the outcome `not-run` to `may-have-run` for a keyed request that this
 * host refuses before it has claimed the key, for a reason that concerns this host
 * alone (no configuration yet, overload, another edition of the rules). Another
 * host may have run the request under the same key: a caller that is told
 * `not-run` could send it again under a new key, and it would run twice.
 *
 * @param problem - Why this host refuses the request.
 * @param headers - Headers of the caller's request.
 * @returns The problem, with the outcome changed if the request has a valid key.
 */
export function toUnclaimedProblem(problem: Problem, headers: CallerExchange['headers']): Problem {
	return problem.outcome === 'not-run' && parseIdempotencyKey(headers['idempotency-key']).isOk()
		? {...problem, outcome: 'may-have-run'}
		: problem;
}
