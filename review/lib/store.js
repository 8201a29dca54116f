/* eslint-disable camelcase -- The names are those of the wire. */
/** Stand-in of the platform's store, as PROTOCOL.md describes it: single items, pages, and watches from a revision. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const maxItems = 500;
const maxPageBytes = 1_000_000;
const maxValueBytes = 1_048_576;

/** Starts a store on a loopback address; it keeps history for `historyMs`. */
export async function startStore({ip = '127.0.0.1', historyMs = 20_000} = {}) {
	const items = new Map();
	const events = [];
	let forgotten = 0;
	let revision = 0;
	let waiting = [];
	/** Whether the store leaves calls of this remote port range unanswered; see `cut`. */
	let isCut = () => false;
	const reads = [];

	function forget() {
		const until = Date.now() - historyMs;
		while (events.length > 0 && events[0].at < until) {
			forgotten = events.shift().event.revision;
		}
	}

	function send(res, status, body) {
		const text = JSON.stringify(body);
		res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		res.end(text);
		return text.length;
	}

	const find = ({prefix, after}) => events.filter(({event}) => event.revision > after && event.key.startsWith(prefix)).map(({event}) => event);

	function answerWatches() {
		waiting = waiting.filter(watch => {
			const found = find(watch);
			if (found.length === 0) {
				return true;
			}

			clearTimeout(watch.timer);
			const size = send(watch.res, 200, {events: found, current_rev: revision});
			reads.push({
				at: Date.now(), kind: 'watch', events: found.length, size,
			});
			return false;
		});
	}

	function add(event) {
		events.push({at: Date.now(), event});
		answerWatches();
	}

	function range(res, prefix, after) {
		const page = [];
		let size = 0;
		let truncated = false;
		for (const item of [...items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((a, b) => a.key < b.key ? -1 : 1)) {
			if (page.length > 0 && (page.length >= maxItems || size + item.value.length > maxPageBytes)) {
				truncated = true;
				break;
			}

			page.push(item);
			size += item.value.length;
		}

		reads.push({
			at: Date.now(), kind: 'range', events: page.length, size: send(res, 200, {items: page, truncated, current_rev: revision}),
		});
	}

	const server = createServer((req, res) => {
		if (isCut(req)) {
			req.socket.resetAndDestroy();
			return;
		}

		forget();
		const url = new URL(req.url, 'http://store');
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		if (url.pathname === '/-/kv-range') {
			range(res, prefix, after);
			return;
		}

		if (Number(after) < forgotten) {
			reads.push({
				at: Date.now(), kind: 'gone', events: 0, size: send(res, 410, {}),
			});
			return;
		}

		const timer = setTimeout(() => {
			waiting = waiting.filter(watch => watch.res !== res);
			send(res, 200, {events: [], current_rev: revision});
		}, Number(url.searchParams.get('wait_ms')));
		waiting.push({
			res, prefix, after: Number(after), timer, socket: req.socket,
		});
		answerWatches();
	});
	server.listen(0, ip);
	await once(server, 'listening');
	return {
		address: `${ip}:${server.address().port}`,
		reads,
		put(key, value) {
			const text = JSON.stringify(value);
			if (Buffer.byteLength(text) > maxValueBytes) {
				throw new Error(`the value of ${key} is longer than the store allows`);
			}

			revision++;
			const item = {
				key, value: Buffer.from(text).toString('base64'), revision, create_rev: items.get(key)?.create_rev ?? revision, lease: 0,
			};
			items.set(key, item);
			add(item);
			return {revision, bytes: item.value.length};
		},
		remove(key) {
			revision++;
			items.delete(key);
			add({key, revision, removed: true});
		},
		/** Resets the calls that a function picks, also those that wait. */
		cut(isMeant) {
			isCut = isMeant;
			for (const {res, socket, timer} of waiting.filter(({res: {req}}) => isMeant(req))) {
				clearTimeout(timer);
				waiting = waiting.filter(watch => watch.res !== res);
				socket.resetAndDestroy();
			}
		},
		heal() {
			isCut = () => false;
		},
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
}
