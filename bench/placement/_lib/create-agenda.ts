/** Creates an event queue on a logical clock that advances by one millisecond a step, up to `endMs`. */
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
				// An event may add events to the step that is running.
				for (const run of steps[now] ?? []) {
					run();
				}

				steps[now] = [];
			}
		},
	};
};

export type Agenda = ReturnType<typeof createAgenda>;
