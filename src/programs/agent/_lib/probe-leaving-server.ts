import {type ServerEntry} from '../../../ports/config.js';
import {type Engine, type LoadReport} from '../../../ports/engine.js';
import {type Owner} from '../../../ports/ids.js';
import {msPerSecond} from '../../../ports/units.js';

const callTimeoutMs = 2 * msPerSecond;
const ttlMs = msPerSecond;

/**
 * Probes a server that was reported as leaving with the smallest piece of work, a
 * reservation for one token or the prefill of one word, and cancels it again.
 *
 * @param server - The server.
 * @param options - The server's engine, its last load report, the owner of the probe, and a number that is unique among the probes of this process.
 * @returns Whether the server accepted the work.
 */
export async function probeLeavingServer(server: ServerEntry, {engine, load, owner, count}: {engine: Engine; load: LoadReport; owner: Owner; count: number}): Promise<boolean> {
	const key = {requestId: `probe-${owner.host}-${owner.incarnation}-${count}`, attempt: 1, owner};
	const options = {signal: AbortSignal.timeout(callTimeoutMs)};
	const asked = server.role === 'decode'
		? await engine.reserve(key, {
			promptTokens: 1, maxTokens: 1, ttlMs, class: 'batch',
		}, options)
		: await engine.prefill({
			key, model: load.model, version: undefined, adapter: undefined, prompt: 'probe', class: 'batch', deadlineInMs: ttlMs,
		}, options);
	if (asked.isErr() && asked.error.kind === 'refused') {
		return false;
	}

	await engine.cancel(key, {signal: AbortSignal.timeout(callTimeoutMs)});
	return asked.isOk();
}
