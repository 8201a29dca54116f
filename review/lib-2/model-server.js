/** Stand-in of a model server: reservations, prompts and streams, as the protocol page tells them. */
/* eslint-disable camelcase -- The protocol of the platform uses snake case. */
import {Buffer} from 'node:buffer';
import {startServer, toAnswer} from './server.js';

const toChunk = text => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

/**
 * Starts a model server on loopback.
 *
 * @param {object} options - `stage`, number of `slots`, `eventMs` between two events, and `prefillMs` of a prompt.
 * @returns {Promise<object>} The server, with its runs.
 */
export async function startModelServer({stage, slots = 4, eventMs = 80, prefillMs = 50}) {
	const runs = [];
	const holds = new Map();
	let lastName = 0;
	const active = () => runs.filter(({end}) => end === undefined);

	const isFull = () => active().length + holds.size >= slots;
	const refuse = (request, socket) => socket.write(toAnswer(request, {status: 503, reason: 'Service Unavailable', fields: {'Not-Executed': '1'}}));
	const answerJson = (request, socket, body) => socket.write(toAnswer(request, {body: JSON.stringify(body), fields: {'Content-Type': 'application/json'}}));
	const answerControl = (socket, body) => {
		const text = JSON.stringify(body);
		socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
	};

	function stream(request, socket) {
		const {headers} = request;
		const total = Number(headers['token-count'].split(',')[1]);
		const run = {
			id: headers['request-id'], from: Number(headers['last-event-id'] ?? 0), next: Number(headers['last-event-id'] ?? 0) + 1, total, pausedUntil: 0, startedAt: Date.now(), end: undefined,
		};
		runs.push(run);
		socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${run.id}\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
		const timer = setInterval(() => {
			if (Date.now() < run.pausedUntil) {
				return;
			}

			socket.write(toChunk(`id: ${run.next}\ndata: piece ${run.next} of ${run.id}\n\n`));
			run.next++;
			if (run.next > total) {
				socket.write('0\r\n\r\n');
				finish('done');
			}
		}, eventMs);

		function finish(end) {
			if (run.end === undefined) {
				clearInterval(timer);
				run.end = end;
				run.endedAt = Date.now();
				socket.off('close', onClose);
			}
		}

		function onClose() {
			finish('left');
		}

		socket.once('close', onClose);
	}

	const server = await startServer((request, socket) => {
		const {method, target, headers} = request;
		if (target === '/-/hold-take') {
			if (isFull()) {
				refuse(request, socket);
				return;
			}

			const name = `hold-${++lastName}`;
			holds.set(name, setTimeout(() => holds.delete(name), JSON.parse(request.body.toString()).ttl_ms));
			answerControl(socket, {hold: name});
			return;
		}

		if (method === 'DELETE') {
			clearTimeout(holds.get(target.split('/').at(-1)));
			holds.delete(target.split('/').at(-1));
			answerControl(socket, {});
			return;
		}

		if (target.startsWith('/-/')) {
			answerControl(socket, {});
			return;
		}

		if (headers.stage === 'prefill') {
			setTimeout(() => answerJson(request, socket, {kv_handle: `kv${++lastName}`, tokens: 1000, version: 1}), prefillMs);
			return;
		}

		const hold = headers['kv-hold'];
		const isHeld = holds.delete(hold);
		if (!isHeld && isFull()) {
			refuse(request, socket);
			return;
		}

		stream(request, socket);
	});

	return {
		...server, stage, slots, runs, active,
		/** Preempts a run: it makes no event until then. */
		pause(id, ms) {
			const run = active().find(each => each.id === id);
			if (run !== undefined) {
				run.pausedUntil = Date.now() + ms;
			}

			return run !== undefined;
		},
	};
}
