import {type IncomingMessage} from 'node:http';

/** What a call asks of the stand-in server. */
export type ServerStep = 'whole' | 'prefill' | 'decode' | 'reserve' | 'release' | 'drop-cache' | 'order';

/**
 * @param req - Head of the call.
 * @returns What the call asks of the server.
 */
export function toServerStep({method, url, headers}: Pick<IncomingMessage, 'method' | 'url' | 'headers'>): ServerStep {
	if (url === '/-/hold-take') {
		return 'reserve';
	}

	if (url === '/-/order') {
		return 'order';
	}

	if (method === 'DELETE' && url?.startsWith('/-/') === true) {
		return url.startsWith('/-/hold-drop/') ? 'release' : 'drop-cache';
	}

	if (headers.stage === 'prefill') {
		return 'prefill';
	}

	return headers['kv-hold'] === undefined ? 'whole' : 'decode';
}

const controlSteps: ReadonlySet<ServerStep> = new Set(['reserve', 'release', 'drop-cache', 'order'] satisfies ServerStep[]);

/**
 * @param step - What a call asks of the server.
 * @returns Whether it manages reservations, caches or orders, and sends no request.
 */
export const isControl = (step: ServerStep): boolean => controlSteps.has(step);
