import {type ConfigVersion} from '../../ports/config.js';

/**
 * Orders two versions of the configuration: by edition, then by the platform's
 * revision, then by digest. The order is total and depends on the two versions
 * only, so every host picks the same one, whatever the order of arrival.
 *
 * @param left - A version.
 * @param right - Another version.
 * @returns A number below 0 when `left` is older, above 0 when it is newer, 0 when both are the same.
 *
 * @example
 * ```ts
 * compareConfigVersions({edition: 2, revision: 1, digest: 'a'}, {edition: 1, revision: 9, digest: 'b'}) > 0; // => true
 * ```
 */
export function compareConfigVersions(left: ConfigVersion, right: ConfigVersion): number {
	return left.edition - right.edition
		|| left.revision - right.revision
		|| Number(left.digest > right.digest) - Number(left.digest < right.digest);
}
