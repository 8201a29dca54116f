import {type ConfigVersion} from '../../ports/config.js';

/**
 * Orders two versions of the configuration: by edition, then by the platform's
 * revision, then by digest, so that every host picks the same of two rivals.
 *
 * @param candidate - Version that was offered.
 * @param current - Version in force.
 * @returns Whether the candidate replaces the current one; `false` for the same version.
 *
 * @example
 * ```ts
 * isNewerVersion({edition: 2, revision: 0, digest: 'a'}, {edition: 1, revision: 9, digest: 'b'}); // => true
 * ```
 */
export function isNewerVersion(candidate: ConfigVersion, current: ConfigVersion): boolean {
	if (candidate.edition !== current.edition) {
		return candidate.edition > current.edition;
	}

	if (candidate.revision !== current.revision) {
		return candidate.revision > current.revision;
	}

	return candidate.digest > current.digest;
}
