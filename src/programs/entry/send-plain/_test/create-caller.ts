import {Buffer} from 'node:buffer';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';

/**
 * Creates a caller that reads at once and keeps what it gets.
 *
 * @returns Its exchange, and what it got.
 */
export function createCaller() {
	const got: Buffer[] = [];
	let heads = 0;
	let hasEnded = false;
	const exchange = {
		method: 'POST',
		target: '/',
		disconnectSignal: new AbortController().signal,
		startStream() {
			heads++;
		},
		write(bytes: Uint8Array) {
			got.push(Buffer.from(bytes));
			return true;
		},
		end() {
			hasEnded = true;
		},
	} as unknown as CallerExchange;
	return {
		exchange, toText: () => Buffer.concat(got).toString('utf8'), heads: () => heads, hasEnded: () => hasEnded,
	};
}
