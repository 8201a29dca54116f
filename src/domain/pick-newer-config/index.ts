import {type AcceptedConfig} from '../../ports/config.js';
import {compareConfigVersions} from '../compare-config-versions/index.js';

/**
 * Picks the newer of two accepted configurations.
 *
 * @param current - The configuration in force, if any.
 * @param candidate - Another accepted configuration, if any, for example a peer's.
 * @returns The newer configuration; `current` when both have the same version.
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
