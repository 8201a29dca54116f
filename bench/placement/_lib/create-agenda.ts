/** A logical clock with one step a millisecond, and an end. */
export const createAgenda = (endMs: number) => {
	const steps: Array<Array<() => void>> = Array.from({length: endMs + 1}, () => []);
	let now = 0;
	return {
		now: () => now,
		after(delayMs: number, run: () => void): void {
			steps[Math.min(endMs, Math.ceil(now + delayMs))]?.push(run);
		},
		run(): void {
			for (; now < endMs; now++) {
				// A step may grow while it runs.
				for (const run of steps[now] ?? []) {
					run();
				}

				steps[now] = [];
			}
		},
	};
};

export type Agenda = ReturnType<typeof createAgenda>;
