/** Shares requests by weight between versions of weights. */
import {pickWeighted} from '../../_lib/pick-weighted/index.js';
import {type Random} from '../../ports/clock.js';
import {type RuleThen} from '../../ports/config.js';

/**
 * Picks a version by its weight.
 *
 * @param then - What the deciding rule says.
 * @param random - Source of one number in [0, 1).
 * @returns The version, or `undefined` when the rule names none, which means the pool's own.
 *
 * @example
 * ```ts
 * pickVersion({versions: [{version: '1', weight: 9}, {version: '2', weight: 1}]}, () => 0.95); // => '2'
 * ```
 */
export function pickVersion(then: Pick<RuleThen, 'versions'>, random: Random): string | undefined {
	return pickWeighted(then.versions, random)?.version;
}
