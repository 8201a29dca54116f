import {toWeightsKey} from '../../../domain/to-orders/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Config} from '../../../ports/config.js';

/**
 * Tells since when the configuration has wanted of servers what it wants now.
 * Orders wait for some seconds after a change of that. Rules may change every
 * few seconds: were each edition to start the wait anew, no order would ever
 * go out.
 *
 * @param now - Monotonic milliseconds.
 * @returns A function that takes the configuration in force.
 */
export function createWantedSince(now: () => Milliseconds): (config: Config) => Milliseconds {
	let last: {config: Config; key: string; since: Milliseconds} | undefined;

	return config => {
		if (last?.config !== config) {
			const key = toWeightsKey(config);
			last = {config, key, since: last?.key === key ? last.since : now()};
		}

		return last.since;
	};
}
