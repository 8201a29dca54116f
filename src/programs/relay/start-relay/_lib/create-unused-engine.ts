/** The client of engines where there is nothing to call by the own protocol. */
import {errAsync} from 'neverthrow';
import {type EngineClient} from '../../../_engines/index.js';

/**
 * Pools of models are reached through passed-on calls alone here.
 *
 * @returns A client that refuses each call.
 */
export function createUnusedEngine(): EngineClient {
	const refuse = () => errAsync({
		kind: 'invalid' as const, reason: undefined, server: '', message: 'requests are passed on here, and engines are not called in the own protocol', retryAfterMs: undefined,
	});
	return {
		reserve: refuse, prefill: refuse, importKv: refuse, decode: refuse, resume: refuse, cancel: refuse, listHolds: refuse, load: refuse, order: refuse, close: async () => undefined,
	};
}
