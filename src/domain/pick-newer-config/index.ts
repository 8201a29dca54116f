import {type AcceptedConfig} from '../../ports/config.js';
import {compareConfigVersions} from '../compare-config-versions/index.js';

/**
 * Picks the newer of two accepted configurations.
 *
 * @param current - The one in force, if any.
 * @param candidate - Another one that was accepted somewhere, if any.
 * @returns The newer one; `current` itself when both are the same version.
 *
 * @example
 * ```ts
 * pickNewerConfig(undefined, accepted); // => accepted
 * ```
 */
export function pickNewerConfig(current: AcceptedConfig | undefined, candidate: AcceptedConfig | undefined): AcceptedConfig | undefined {
	if (!current || !candidate) {
		return current ?? candidate;
	}

	return compareConfigVersions(candidate.version, current.version) > 0 ? candidate : current;
}
