/**
 * Which prefix blocks each prefill server probably holds in its cache.
 *
 * It remembers what this host sent where, and forgets the least recently used
 * block when full. What it remembers is a guess, as engines evict on their own:
 * each server has a trust between 0 and 1 that follows the cached tokens which
 * prefills report.
 */
import {type ServerId} from '../../ports/ids.js';

export type PrefixMapOptions = {
	/** Blocks remembered over all servers. */
	maxBlocks?: number;
	/** Servers remembered for one block, the latest ones. */
	maxServersPerBlock?: number;
};

const defaultMaxBlocks = 50_000;
const defaultMaxServersPerBlock = 4;

/** Weight of the newest feedback in a server's trust. */
const trustGain = 0.2;

/** Trust in a server nobody has given feedback on. */
const initialTrust = 0.8;

/**
 * @param options - Bounds; memory is at most `maxBlocks` × `maxServersPerBlock` names.
 * @returns Functions that note blocks, and that look up a prompt.
 *
 * @example
 * const prefixes = createPrefixMap();
 * prefixes.note('p1', ['a', 'ab']);
 * prefixes.toHits(['a', 'ab', 'abc']); // Map {'p1' => 1.6}: two blocks at a trust of 0.8
 */
export const createPrefixMap = (options: PrefixMapOptions = {}) => {
	const maxBlocks = options.maxBlocks ?? defaultMaxBlocks;
	const maxServers = options.maxServersPerBlock ?? defaultMaxServersPerBlock;
	/** Insertion order is order of last use. */
	const blocks = new Map<string, readonly ServerId[]>();
	const trusts = new Map<ServerId, number>();

	const toTrust = (server: ServerId): number => trusts.get(server) ?? initialTrust;

	const setBlock = (block: string, servers: readonly ServerId[]): void => {
		blocks.delete(block);
		blocks.set(block, servers);
		if (blocks.size > maxBlocks) {
			const [oldest] = blocks.keys();
			blocks.delete(oldest ?? block);
		}
	};

	const addHolder = (block: string, server: ServerId): void => {
		const others = (blocks.get(block) ?? []).filter(id => id !== server);
		setBlock(block, [server, ...others].slice(0, maxServers));
	};

	/** Leading blocks of the prompt that each server is remembered to hold. */
	const toDepths = (prefix: readonly string[]): ReadonlyMap<ServerId, number> => {
		const depths = new Map<ServerId, number>();
		for (const [i, block] of prefix.entries()) {
			const holders = blocks.get(block) ?? [];
			if (holders.length === 0) {
				break;
			}

			for (const server of holders) {
				if ((depths.get(server) ?? 0) === i) {
					depths.set(server, i + 1);
				}
			}
		}

		return depths;
	};

	return {
		/** Notes that a server has just computed a prompt with these blocks. */
		note(server: ServerId, prefix: readonly string[]): void {
			// Last block first, so that under pressure the tail, of use to fewer prompts, is forgotten first.
			for (const block of prefix.toReversed()) {
				addHolder(block, server);
			}
		},
		/**
		 * @param prefix - Hashes of the prompt's blocks, from the first.
		 * @returns Blocks that each server is expected to have, weighed by its trust; servers without any are absent.
		 */
		toHits(prefix: readonly string[]): ReadonlyMap<ServerId, number> {
			const hits = new Map<ServerId, number>();
			for (const [server, depth] of toDepths(prefix)) {
				hits.set(server, depth * toTrust(server));
			}

			return hits;
		},
		/**
		 * Corrects by what a prefill found in the cache.
		 *
		 * @param cachedBlocks - Leading blocks of `prefix` that the server had.
		 */
		noteFeedback(server: ServerId, prefix: readonly string[], cachedBlocks: number): void {
			const expected = toDepths(prefix).get(server) ?? 0;
			if (expected > 0) {
				const found = Math.min(1, cachedBlocks / expected);
				trusts.set(server, toTrust(server) + (trustGain * (found - toTrust(server))));
			}
		},
		toTrust,
		/** Drops the trust in a server that is gone; its blocks age out. */
		forget(server: ServerId): void {
			trusts.delete(server);
		},
		/** Blocks remembered now. */
		size: (): number => blocks.size,
	};
};

export type PrefixMap = ReturnType<typeof createPrefixMap>;
