/**
 * Maps prefix blocks to the prefill servers that probably hold them in their cache.
 *
 * The map records which blocks this host sent to which server, and evicts the least
 * recently used block when it is full. As engines evict on their own, an entry is only
 * a guess: each server has a trust between 0 and 1 that is adjusted by the cached
 * tokens that prefills report.
 */
import {type ServerId} from '../../ports/ids.js';

export type PrefixMapOptions = {
	/** Maximum number of blocks over all servers. */
	maxBlocks?: number;
	/** Maximum number of servers per block; the most recent ones are kept. */
	maxServersPerBlock?: number;
};

const defaultMaxBlocks = 50_000;
const defaultMaxServersPerBlock = 4;

/** Weight of the newest feedback in a server's trust. */
const trustGain = 0.2;

/** Trust in a server without feedback. */
const initialTrust = 0.8;

/**
 * Creates an empty map.
 *
 * @param options - Bounds; the map holds at most `maxBlocks` × `maxServersPerBlock` names.
 * @returns Functions that record blocks, and that look up a prompt.
 *
 * @example
 * const prefixes = createPrefixMap();
 * prefixes.note('p1', ['a', 'ab']);
 * prefixes.toHits(['a', 'ab', 'abc']); // Map {'p1' => 1.6}: two blocks at a trust of 0.8
 */
export const createPrefixMap = (options: PrefixMapOptions = {}) => {
	const maxBlocks = options.maxBlocks ?? defaultMaxBlocks;
	const maxServers = options.maxServersPerBlock ?? defaultMaxServersPerBlock;
	/** Blocks in the order of their last use, least recent first. */
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

	/** Number of leading blocks of the prompt that each server holds according to the map. */
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
		/** Records that a server has just computed a prompt with these blocks. */
		note(server: ServerId, prefix: readonly string[]): void {
			// The last block is added first, so that the tail of the prefix, which fewer prompts share, is evicted first.
			for (const block of prefix.toReversed()) {
				addHolder(block, server);
			}
		},
		/**
		 * @param prefix - Hashes of the prompt's blocks, from the first.
		 * @returns Expected number of cached blocks per server, weighted by its trust; servers without any are absent.
		 */
		toHits(prefix: readonly string[]): ReadonlyMap<ServerId, number> {
			const hits = new Map<ServerId, number>();
			for (const [server, depth] of toDepths(prefix)) {
				hits.set(server, depth * toTrust(server));
			}

			return hits;
		},
		/**
		 * Adjusts the trust in a server by the blocks that a prefill found in its cache.
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
		/** Drops the trust in a removed server; its blocks are evicted over time. */
		forget(server: ServerId): void {
			trusts.delete(server);
		},
		/** Number of blocks in the map. */
		size: (): number => blocks.size,
	};
};

export type PrefixMap = ReturnType<typeof createPrefixMap>;
