/** Keeps past load numbers, so that load reports can lag. */
export const createLoadLog = <T>(lagMs: number, read: () => T) => {
	let log: Array<{at: number; numbers: T}> = [{at: Number.NEGATIVE_INFINITY, numbers: read()}];

	const trim = (now: number): void => {
		const first = log.findLastIndex(entry => entry.at <= now - lagMs);
		if (first > 64) {
			log = log.slice(first);
		}
	};

	return {
		record() {
			const now = performance.now();
			trim(now);
			log.push({at: now, numbers: read()});
		},
		/** Returns the numbers that were current `lagMs` ago. */
		readLagged(): T {
			const until = performance.now() - lagMs;
			const entry = log.findLast(({at}) => at <= until) ?? log[0];
			return entry?.numbers ?? read();
		},
	};
};
