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
export function findKey(exchange: CallerExchange, isRepeatable: boolean): Result<string | undefined, Problem> {
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
export function toDigest(exchange: CallerExchange, body: Uint8Array): string {
	return createHash('sha256').update(`${exchange.method} ${exchange.target}\n`).update(body).digest('hex');
}
