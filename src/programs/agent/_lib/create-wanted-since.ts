import {toWeightsKey} from '../../../domain/to-orders/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Config} from '../../../ports/config.js';

/**
 * Remembers since when the configuration has required the present weights and
 * roles of servers. Orders are delayed for some seconds after that changes.
 * Rules may change every few seconds: if each edition restarted the delay, no
 * order would ever be sent.
 *
 * @param now - Monotonic milliseconds.
 * @returns A function from the configuration in force to that time, monotonic milliseconds.
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
