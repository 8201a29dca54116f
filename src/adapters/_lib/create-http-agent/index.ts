/**
 * The pool of HTTP connections of one client.
 *
 * undici's agent is loaded by its own path: the package's main module brings
 * `fetch`, caches, proxies and mocks along, 110 modules in place of 23, which
 * cost the agent program 2 MB of the 64 it may have.
 */
import {type Agent} from 'undici';
import UndiciAgent from 'undici/lib/dispatcher/agent.js';
import {type Milliseconds} from '../../../ports/clock.js';

export type HttpAgentOptions = {
	/** Connections to one server. */
	connections: number;
	connectTimeoutMs: Milliseconds;
};

/**
 * Creates a pool of its own: no proxy settings of the environment, and its
 * connections close with its client. Each connection carries one call at once.
 *
 * @param options - Limits.
 */
export function createHttpAgent({connections, connectTimeoutMs}: HttpAgentOptions): Agent {
	return new UndiciAgent({connect: {timeout: connectTimeoutMs}, connections, pipelining: 1});
}
