/** A link of limited rate: chunks of all transfers pass one after another, so concurrent transfers share the rate. */
import {setTimeout as sleep} from 'node:timers/promises';

export type Link = {
	/** Waits for the time that this many bytes need on the link. */
	pass: (bytes: number, signal: AbortSignal) => Promise<void>;
};

export const createLink = (bytesPerSecond: number): Link => {
	let freeAt = 0;
	return {
		async pass(bytes, signal) {
			const now = performance.now();
			freeAt = Math.max(now, freeAt) + (bytes / bytesPerSecond * 1000);
			const waitMs = freeAt - now;
			// A wait below the resolution of timers is carried over to a later chunk through `freeAt`.
			if (waitMs >= 1) {
				await sleep(waitMs, undefined, {signal});
			}
		},
	};
};
