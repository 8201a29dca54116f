/* eslint-disable camelcase -- The names are those of the wire. */
/** Stand-in of a model server or a plain server, as PROTOCOL.md describes it. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

async function readBody(req) {
	const parts = [];
	for await (const part of req) {
		parts.push(part);
	}

	return Buffer.concat(parts).toString('utf8');
}

/** One event of the stream that a request gets, whichever server makes it. */
export const toEvent = (requestId, number) => `id: ${number}\ndata: piece ${number} of ${requestId}\n\n`;

/** The whole stream of a request. */
export const toStream = (requestId, count) => Array.from({length: count}, (_, i) => toEvent(requestId, i + 1)).join('');

/**
 * Starts a server.
 *
 * @param options - `id`; `stage`, absent for a plain server; `events` of a stream and `stepMs` between two;
 * `prefillMs`; `controlMs` for reservations and releases; `workMs` of a plain request; `isStreaming`, if a plain server answers with a stream;
 * `onRun`, called when a request runs; `onOrder`; `toExtra`, which tells whether a whole answer is sent once
 * more where the next answer is expected; `toPauseMs`, the pause before an event; `hasRoom`, which
 * tells whether a reservation is granted.
 */
export async function startEngine(options) {
	const {
		id, ip = '127.0.0.1', stage, events = 20, stepMs = 10, prefillMs = 100, controlMs = 4, workMs = 20, isStreaming = false,
		onRun = () => undefined, onOrder = () => undefined, toExtra = () => false, toPauseMs = () => 0, onControl = () => undefined, hasRoom = () => true,
	} = options;
	const extras = new WeakMap();
	const holds = new Set();
	let handles = 0;
	let sequence = 0;
	let current = stage;
	let until = 0;

	function answer(res, status, body, headers = {}) {
		const text = JSON.stringify(body);
		res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers});
		res.end(text);
	}

	const own = requestId => ({'request-id': requestId, 'server-seal': `seal.${id}.${requestId}`});

	async function stream(req, res, requestId) {
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		let isLeft = false;
		res.once('close', () => {
			isLeft = !res.writableFinished;
		});
		const run = onRun({id, requestId, first});
		res.writeHead(200, {'content-type': 'text/event-stream', ...own(requestId)});
		for (let number = first; number <= events; number++) {
			await sleep(stepMs + toPauseMs({
				id, requestId, number, first,
			}));
			if (isLeft) {
				run?.end('left');
				return;
			}

			res.write(toEvent(requestId, number));
		}

		res.end();
		run?.end('complete');
		if (first === 1 && toExtra({id, requestId})) {
			const body = toStream(requestId, events);
			const head = Object.entries({'content-type': 'text/event-stream', 'content-length': Buffer.byteLength(body), ...own(requestId)}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			extras.set(req.socket, {requestId, bytes: `HTTP/1.1 200 OK\r\n${head}\r\n${body}`});
		}
	}

	async function order(res, body) {
		const {op, stage: wanted, holder, fence} = JSON.parse(body);
		const isInvalid = op !== 'stage' || holder === undefined || fence === undefined;
		const due = wanted === current ? 200 : 202;
		const valid = Date.now() < until ? 409 : due;
		const status = isInvalid ? 400 : valid;
		onOrder({
			id, holder, fence, wanted, status,
		});
		if (status === 202) {
			sequence++;
			current = wanted;
			until = Date.now() + 6000;
		}

		answer(res, status, {});
	}

	async function serve(req, res) {
		const extra = extras.get(req.socket);
		if (extra !== undefined) {
			extras.delete(req.socket);
			onControl({
				id, kind: 'extra', requestId: extra.requestId, before: `${req.method} ${req.url} ${req.headers['request-id'] ?? ''}`,
			});
			req.socket.write(extra.bytes);
		}

		const body = await readBody(req);
		const requestId = String(req.headers['request-id']);
		if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== id) {
			answer(res, 421, {}, {'instance-id': id});
			return;
		}

		if (req.url.startsWith('/-/')) {
			if (req.url === '/-/order') {
				await order(res, body);
				return;
			}

			await sleep(controlMs);
			const name = req.url.slice(req.url.lastIndexOf('/') + 1);
			if (req.url === '/-/hold-take' && !hasRoom({id})) {
				answer(res, 503, {}, {'not-executed': '1'});
				return;
			}

			if (req.url === '/-/hold-take') {
				const hold = `${id}-hold-${++handles}`;
				holds.add(hold);
				answer(res, 200, {hold});
			} else {
				answer(res, holds.delete(name) || req.url.startsWith('/-/kv-handle/') ? 200 : 404, {});
			}

			return;
		}

		if (current === undefined && isStreaming) {
			await stream(req, res, requestId);
			return;
		}

		if (current === undefined) {
			const run = onRun({id, requestId, first: 1});
			await sleep(workMs);
			run?.end('complete');
			answer(res, 200, {of: requestId}, own(requestId));
			return;
		}

		if (req.headers.stage === 'prefill') {
			if (current !== 'prefill') {
				answer(res, 421, {}, {'instance-id': id, 'request-id': requestId});
				return;
			}

			await sleep(prefillMs);
			answer(res, 200, {kv_handle: `h${++handles}`, tokens: 1000, version: 1}, {'request-id': requestId});
			return;
		}

		if (current !== 'decode') {
			answer(res, 421, {}, {'instance-id': id, 'request-id': requestId});
			return;
		}

		holds.delete(String(req.headers['kv-hold']));
		await stream(req, res, requestId);
	}

	const server = createServer((req, res) => {
		req.socket.setNoDelay(true);
		void serve(req, res);
	});
	const sockets = new Set();
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	server.listen(0, ip);
	await once(server, 'listening');
	return {
		id,
		address: `${ip}:${server.address().port}`,
		stage: () => current,
		sequence: () => sequence,
		/** Ends as a crash does: all connections are reset, and no new one is accepted. */
		crash() {
			server.close();
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		toEntry: (fields = {}) => ({
			service: 'model',
			address: `${ip}:${server.address().port}`,
			zone: 'a',
			version: 'v1',
			slots: 128,
			state: 'ready',
			cold_remaining_ms: 0,
			sequence: 1,
			...(current && {stage: current, models: [{name: 'm', version: 1, adapters: []}]}),
			...fields,
		}),
		async close() {
			if (server.listening) {
				server.closeAllConnections();
				server.close();
				await once(server, 'close');
			}
		},
	};
}
