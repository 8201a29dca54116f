/** Calls of callers to a relay. */
import {request, type IncomingMessage} from 'node:http';

export type Answer = {
	status: number;
	headers: IncomingMessage['headers'];
	body: string;
	/** Whether the answer ended in order. */
	isWhole: boolean;
	tookMs: number;
};

export type RelayCall = {
	path?: string;
	method?: string;
	headers?: Record<string, string>;
	body?: string;
	/** Time in milliseconds after which the caller disconnects. */
	leaveAfterMs?: number;
	/** Index of the host that receives the call; 0 by default. */
	at?: number;
};

/**
 * Sends a call, and reads its answer or what there is of it.
 *
 * @param port - Callers' port of a host.
 * @param call - Name in the `Host` header, address of the host, and the call.
 * @returns The answer.
 */
export async function sendCall(port: number, {host, address = '127.0.0.1', asked}: {host: string; address?: string; asked: RelayCall}): Promise<Answer> {
	const startedAt = performance.now();
	return new Promise((resolve, reject) => {
		const req = request({
			port, host: address, path: asked.path ?? '/lookup/1', method: asked.method ?? 'POST', headers: {host, 'request-id': `r-${Math.random().toString(16).slice(2)}`, ...asked.headers}, agent: false,
		});
		req.once('response', async res => {
			let body = '';
			res.setEncoding('utf8');
			res.on('data', (piece: string) => {
				body += piece;
			});
			res.once('close', () => {
				resolve({
					status: res.statusCode ?? 0, headers: res.headers, body, isWhole: res.complete, tookMs: performance.now() - startedAt,
				});
			});
			res.on('error', () => undefined);
		});
		req.once('error', error => {
			if (asked.leaveAfterMs === undefined) {
				reject(error);
			} else {
				resolve({
					status: 0, headers: {}, body: '', isWhole: false, tookMs: performance.now() - startedAt,
				});
			}
		});
		if (asked.leaveAfterMs !== undefined) {
			setTimeout(() => {
				req.destroy();
			}, asked.leaveAfterMs);
		}

		req.end(asked.body ?? '');
	});
}
