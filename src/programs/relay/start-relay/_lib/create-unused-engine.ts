/** Client of engines for relays, which make no call in this system's own engine protocol. */
import {errAsync} from 'neverthrow';
import {type EngineClient} from '../../../_engines/index.js';

/**
 * Creates a client that refuses each call: a relay reaches the servers of model
 * pools only through the requests that it forwards.
 *
 * @returns The client.
 */
export function createUnusedEngine(): EngineClient {
	const refuse = () => errAsync({
		kind: 'invalid' as const, reason: undefined, server: '', message: 'a relay forwards requests and makes no calls in the engine protocol', retryAfterMs: undefined,
	});
	return {
		reserve: refuse, prefill: refuse, importKv: refuse, decode: refuse, resume: refuse, cancel: refuse, listHolds: refuse, load: refuse, order: refuse, close: async () => undefined,
	};
}
