/**
 * Worker thread of an engine with negligible cost, so that the bench measures the router
 * and not the engine. The engine answers each call at once and sends one token a line,
 * at a fixed interval or as fast as the client reads.
 */
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

export type EngineWorkerData = {
	id: string;
	role: 'prefill' | 'decode';
	/** Time between the tokens of a stream; 0 sends them as fast as the client reads. */
	intervalMs: number;
};

type StreamRequest = {key: {requestId: string; attempt: number}; maxTokens: number};

/** Lines per write of a stream without an interval. */
const linesAtOnce = 64;
const {id, role, intervalMs} = workerData as EngineWorkerData;

async function readJson(req: IncomingMessage): Promise<unknown> {
	const pieces: Buffer[] = [];
	for await (const piece of req as AsyncIterable<Buffer>) {
		pieces.push(piece);
	}

	return pieces.length === 0 ? undefined : JSON.parse(Buffer.concat(pieces).toString());
}

function toLine({key, maxTokens}: StreamRequest, offset: number): string {
	const finish = offset + 1 === maxTokens ? ',"finish":"length"' : '';
	return `{"requestId":"${key.requestId}","attempt":${key.attempt},"offset":${offset},"tokens":[" token"]${finish}}\n`;
}

async function waitForRoom(res: ServerResponse): Promise<void> {
	const over = new AbortController();
	const {signal} = over;
	await Promise.race([once(res, 'drain', {signal}), once(res, 'close', {signal})]);
	over.abort();
}

async function sendUnpaced(request: StreamRequest, res: ServerResponse): Promise<void> {
	for (let offset = 0; offset < request.maxTokens && !res.destroyed;) {
		const end = Math.min(request.maxTokens, offset + linesAtOnce);
		let lines = '';
		for (; offset < end; offset++) {
			lines += toLine(request, offset);
		}

		if (!res.write(lines)) {
			await waitForRoom(res);
		}
	}

	res.end();
}

function sendPaced(request: StreamRequest, res: ServerResponse): void {
	let offset = 0;
	const send = () => {
		res.write(toLine(request, offset));
		offset++;
		if (offset === request.maxTokens) {
			clearInterval(timer);
			res.end();
		}
	};

	const timer = setInterval(send, intervalMs);
	res.once('close', () => {
		clearInterval(timer);
	});
	send();
}

const answers: Readonly<Record<string, [number, unknown]>> = {
	'/engine/reservations': [201, {reservationId: 'r', expiresInMs: 60_000}],
	'/engine/prefills': [200, {
		kvId: 'k', promptTokens: 8, cachedTokens: 0, bytes: 1000, expiresInMs: 1000,
	}],
	'/engine/imports': [200, {bytes: 1000}],
	'/engine/cancels': [200, {released: true}],
	'/engine/holds': [200, {holds: []}],
	'/engine/load': [200, {
		server: id,
		role,
		model: 'm',
		version: '1',
		adapters: [],
		state: 'serving',
		ageMs: 0,
		slotsTotal: 20_000,
		slotsUsed: 0,
		queued: 0,
		queuedTokens: 0,
		tokensPerSecond: 100_000,
		linkBytesPerSecond: 1e9,
		fence: 0,
	}],
};

const server = createServer(async (req, res) => {
	const path = (req.url ?? '').split('?', 1)[0]!;
	const body = await readJson(req);
	if (path === '/engine/streams') {
		res.writeHead(200, {'content-type': 'application/x-ndjson'});
		if (intervalMs === 0) {
			await sendUnpaced(body as StreamRequest, res);
		} else {
			sendPaced(body as StreamRequest, res);
		}

		return;
	}

	const [status, answer] = answers[path] ?? [404, {}];
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(answer));
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
	parentPort!.postMessage({url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`});
});
