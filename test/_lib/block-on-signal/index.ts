/** Preloaded into a program: blocks its event loop on SIGUSR2, as work that takes long would. */
import process from 'node:process';

/** Time for which the event loop is blocked, milliseconds. */
const blockedMs = 1800;

process.on('SIGUSR2', () => {
	const until = performance.now() + blockedMs;
	while (performance.now() < until) {
		// The processor is kept busy.
	}
});
