import {type NamedPart} from '../../ports/config.js';
import {type PlatformKey} from '../../ports/platform.js';

const shownDigestLength = 16;

/**
 * Names the platform's key of a part. It holds a piece of the part's digest, so
 * that what was published under a key is never written over: until the new root
 * is there, the root in force finds all of its parts as they were.
 *
 * @param part - A part as the root names it.
 * @returns The key.
 *
 * @example
 * ```ts
 * toPartKey({name: 'prague', sha256: 'e3b0c44298fc1c14...', bytes: 0}); // => 'config.prague.e3b0c44298fc1c14'
 * ```
 */
export function toPartKey({name, sha256}: Pick<NamedPart, 'name' | 'sha256'>): PlatformKey & `config.${string}` {
	return `config.${name}.${sha256.slice(0, shownDigestLength)}`;
}
