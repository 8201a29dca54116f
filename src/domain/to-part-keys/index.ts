import {createHash} from 'node:crypto';
import {type PartKey} from '../../ports/ids.js';

/** Longest id that is kept in its key, so that operators find it in the key. */
const maxReadableLength = 24;

/** 72 bits in base64url, in place of a longer id. */
const digestLength = 12;

/** 36 bits in base64url; tells apart the pools and models of one fleet. */
const scopeLength = 6;

const toDigest = (text: string, length: number): string => createHash('sha256').update(text, 'utf8').digest('base64url').slice(0, length);

/**
 * Computes the keys of parts of a prompt. A part that harms one model need not harm
 * another, so its key depends on the pool and the model.
 *
 * @param ids - Ids of the parts, as the caller states them.
 * @param scope - Pool and model of the request; `undefined` for the pool's only model.
 * @returns A key of at most 31 characters for each id.
 *
 * @example
 * ```ts
 * toPartKeys(['5c1e07a2'], {pool: 'chat', model: 'm'}); // => ['5c1e07a2@LMB3un']
 * ```
 */
export function toPartKeys(ids: readonly string[], {pool, model = ''}: {pool: string; model: string | undefined}): PartKey[] {
	if (ids.length === 0) {
		return [];
	}

	const scope = toDigest(`${pool}\n${model}`, scopeLength);
	return ids.map(id => `${id.length <= maxReadableLength ? id : toDigest(id, digestLength)}@${scope}`);
}
