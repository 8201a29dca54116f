import {type NamedPart} from '../../ports/config.js';
import {type PlatformKey} from '../../ports/platform.js';

const shownDigestLength = 16;

/**
 * Returns the key under which the platform stores a part. The key contains the
 * start of the part's digest, so publishing a changed part does not overwrite the
 * earlier one: until the new root is published, the root in force still finds all
 * of its parts unchanged.
 *
 * @param part - A part as named in the root.
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
