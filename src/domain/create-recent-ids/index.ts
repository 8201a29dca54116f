import {type RecentIds} from '../../ports/ids.js';

/**
 * Creates a bounded set of ids, which forgets the oldest first.
 *
 * @param options - `limit`: number of ids that are kept.
 * @returns The set.
 *
 * @example
 * ```ts
 * const ids = createRecentIds({limit: 1});
 * ids.add('a');
 * ids.add('b');
 * ids.has('a'); // => false
 * ```
 */
export function createRecentIds({limit}: {limit: number}): RecentIds {
	const ids = new Set<string>();
	return {
		has: id => ids.has(id),
		add(id) {
			ids.add(id);
			if (ids.size > limit) {
				const [oldest] = ids;
				ids.delete(oldest!);
			}
		},
	};
}
