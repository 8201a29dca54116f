/** The prefix cache of a prefill engine: a small LRU cache of blocks that reports its events late and with gaps. */
import {toBlocks} from './answer.js';

export type CacheEvent = {seq: number; kind: 'stored' | 'evicted'; block: string};

const maxEvents = 20_000;
const tokensPerBlock = 16;

export const createPrefixCache = ({blocks: capacity, lagMs, gap}: {blocks: number; lagMs: number; gap: number}) => {
	const cached = new Set<string>();
	const events: Array<CacheEvent & {at: number}> = [];
	let seq = 0;

	const recordEvent = (kind: CacheEvent['kind'], block: string): void => {
		seq += 1;
		events.push({
			seq, kind, block, at: performance.now(),
		});
		if (events.length > maxEvents) {
			events.splice(0, maxEvents / 2);
		}
	};

	const evictExcess = (): void => {
		for (const oldest of cached) {
			if (cached.size <= capacity) {
				return;
			}

			cached.delete(oldest);
			recordEvent('evicted', oldest);
		}
	};

	return {
		/** Counts the tokens at the beginning of the prompt that are cached. */
		countCached(prompt: string): number {
			const blocks = toBlocks(prompt);
			const miss = blocks.findIndex(block => !cached.has(block));
			return (miss === -1 ? blocks.length : miss) * tokensPerBlock;
		},
		store(prompt: string): void {
			for (const block of toBlocks(prompt).slice(0, capacity)) {
				if (!cached.delete(block)) {
					recordEvent('stored', block);
				}

				cached.add(block);
			}

			evictExcess();
		},
		/** Drops all blocks without events, as a restart does. */
		clear() {
			cached.clear();
		},
		/** Returns the events that are old enough to be visible, without those in the gaps. */
		eventsSince(since: number): {next: number; events: CacheEvent[]} {
			const until = performance.now() - lagMs;
			const visible = events.filter(event => event.seq >= since && event.at <= until);
			const told = visible
				.filter(event => gap === 0 || event.seq % gap !== 0)
				.map(event => ({seq: event.seq, kind: event.kind, block: event.block}));
			return {next: (visible.at(-1)?.seq ?? since - 1) + 1, events: told};
		},
	};
};

export type PrefixCache = ReturnType<typeof createPrefixCache>;
