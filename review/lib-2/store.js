/** Stand-in of the platform's store: keys with revisions, read in pages and watched from a revision. */
/* eslint-disable camelcase -- The protocol of the platform uses snake case. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const pageSize = 500;

/**
 * Starts a store on loopback.
 *
 * @returns {Promise<object>} Address, functions to write and remove a key, and the end.
 */
export async function startStore() {
	const items = new Map();
	const changes = [];
	let revision = 10;
	let waiting = [];

	const sendJson = (res, status, body) => {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(body));
	};

	const findEvents = ({after, prefix}) => changes.filter(change => change.revision > after && change.key.startsWith(prefix));

	const answerWatches = () => {
		waiting = waiting.filter(watch => {
			const events = findEvents(watch);
			if (events.length === 0) {
				return true;
			}

			clearTimeout(watch.timer);
			sendJson(watch.res, 200, {events, current_rev: revision});
			return false;
		});
	};

	const server = createServer((req, res) => {
		const url = new URL(req.url, 'http://store');
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		if (url.pathname === '/-/kv-range') {
			const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((a, b) => a.key < b.key ? -1 : 1);
			sendJson(res, 200, {items: found.slice(0, pageSize), truncated: found.length > pageSize, current_rev: revision});
			return;
		}

		const watch = {res, prefix, after: Number(after)};
		watch.timer = setTimeout(() => {
			waiting = waiting.filter(other => other !== watch);
			sendJson(res, 200, {events: [], current_rev: revision});
		}, Number(url.searchParams.get('wait_ms')));
		res.once('close', () => {
			clearTimeout(watch.timer);
			waiting = waiting.filter(other => other !== watch);
		});
		waiting.push(watch);
		answerWatches();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');

	return {
		address: `127.0.0.1:${server.address().port}`,
		put(key, value) {
			revision++;
			const item = {
				key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision, create_rev: items.get(key)?.create_rev ?? revision, lease: 0,
			};
			items.set(key, item);
			changes.push(item);
			answerWatches();
		},
		remove(key) {
			revision++;
			items.delete(key);
			changes.push({key, revision, removed: true});
			answerWatches();
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
