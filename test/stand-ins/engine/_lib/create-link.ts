/** A link of limited rate: pieces of all transfers pass one after the other, so concurrent transfers share it. */
import {setTimeout as sleep} from 'node:timers/promises';

export type Link = {
	/** Waits until so many bytes have passed. */
	pass: (bytes: number, signal: AbortSignal) => Promise<void>;
};

export const createLink = (bytesPerSecond: number): Link => {
	let freeAt = 0;
	return {
		async pass(bytes, signal) {
			const now = performance.now();
			freeAt = Math.max(now, freeAt) + (bytes / bytesPerSecond * 1000);
			const waitMs = freeAt - now;
			// Debts under a timer's grain are paid with a later piece.
			if (waitMs >= 1) {
				await sleep(waitMs, undefined, {signal});
			}
		},
	};
};
