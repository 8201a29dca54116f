/** A store that gives prepared answers. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {createStore} from '../../../platform/store.js';
import {type PublishedSource} from '../../../src/ports/published.js';

/** `text`: body that is sent as it is, instead of `body` in JSON. */
export type Reply = {status?: number; headers?: Record<string, string>; body?: unknown; text?: string};

/**
 * Starts a store that answers each read with the next reply.
 *
 * @param replies - Answers in order.
 * @param use - Uses the store's client.
 * @returns What `use` returned.
 */
export async function withStore<Value>(replies: Reply[], use: (source: PublishedSource, targets: readonly string[]) => Promise<Value>): Promise<Value> {
	const targets: string[] = [];
	const server = createServer((req, res) => {
		targets.push(req.url ?? '');
		const {status = 200, headers = {}, body = {}, text = JSON.stringify(body)} = replies.shift() ?? {};
		res.writeHead(status, headers);
		res.end(text);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const source = createStore(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	try {
		return await use(source, targets);
	} finally {
		await source.close();
		server.close();
	}
}
