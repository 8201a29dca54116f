/** Splits requests by weight between versions of a model's weights. */
import {pickWeighted} from '../../_lib/pick-weighted/index.js';
import {type Random} from '../../ports/clock.js';
import {type RuleThen} from '../../ports/config.js';

/**
 * Picks a version by its weight.
 *
 * @param then - The `then` part of the matching rule.
 * @param random - Source of one number in [0, 1).
 * @returns The version, or `undefined` when the rule names none, so that the pool's own version applies.
 *
 * @example
 * ```ts
 * pickVersion({versions: [{version: '1', weight: 9}, {version: '2', weight: 1}]}, () => 0.95); // => '2'
 * ```
 */
export function pickVersion(then: Pick<RuleThen, 'versions'>, random: Random): string | undefined {
	return pickWeighted(then.versions, random)?.version;
}
