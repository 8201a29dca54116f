/**
 * Measures how many tokens a second one process reads from engines through
 * `adapters/engine-http`, by the number of tokens that an engine sends in one
 * piece. The engines are worker threads that send as fast as the process reads.
 */
import {Worker} from 'node:worker_threads';
import {createEngineHttp} from '../../src/adapters/engine-http/index.js';

const engines = 3;
const streams = 64;
const tokensPerStream = 20_000;
const linesPerPiece = [1, 4, 64];

/** Minimal stream server, as JavaScript text because the worker evaluates it. */
const engineSource = `
	const {createServer} = require('node:http');
	const {parentPort, workerData: {lines, total}} = require('node:worker_threads');
	const toLine = (key, offset) => JSON.stringify({
		requestId: key.requestId, attempt: key.attempt, offset, tokens: [' word' + (offset % 1000)], ...(offset === total - 1 && {finish: 'length'}),
	}) + '\\n';
	createServer((req, res) => {
		let body = '';
		req.on('data', part => { body += part; });
		req.on('end', () => {
			const {key} = JSON.parse(body);
			let offset = 0;
			const send = () => {
				while (offset < total) {
					let piece = '';
					for (let i = 0; i < lines && offset < total; i++, offset++) piece += toLine(key, offset);
					if (!res.write(piece) && offset < total) { res.once('drain', send); return; }
				}
				res.end();
			};
			send();
		});
	}).listen(0, '127.0.0.1', function () { parentPort.postMessage(this.address().port); });
`;

async function startEngine(lines: number): Promise<{worker: Worker; url: string}> {
	const worker = new Worker(engineSource, {eval: true, workerData: {lines, total: tokensPerStream}});
	const port = await new Promise<number>(resolve => {
		worker.once('message', resolve);
	});
	return {worker, url: `http://127.0.0.1:${port}`};
}

async function readStream(client: ReturnType<typeof createEngineHttp>, requestId: string): Promise<number> {
	const stream = await client.decode({
		key: {requestId, attempt: 1, owner: {host: 'bench', incarnation: 1}}, reservationId: 'none', maxTokens: tokensPerStream, class: 'batch',
	});
	if (stream.isErr()) {
		throw new Error(stream.error.message);
	}

	let tokens = 0;
	for await (const chunk of stream.value) {
		tokens += chunk.tokens.length;
	}

	return tokens;
}

async function measure(lines: number): Promise<void> {
	const started = await Promise.all(Array.from({length: engines}, async () => startEngine(lines)));
	const clients = started.map(({url}, i) => createEngineHttp({server: {id: `engine-${i}`, url}}));
	const from = performance.now();
	const loop = performance.eventLoopUtilization();
	const counts = await Promise.all(Array.from({length: streams}, async (_, i) => readStream(clients[i % engines]!, `r${i}`)));
	const {active} = performance.eventLoopUtilization(loop);
	const seconds = (performance.now() - from) / 1000;
	const tokens = counts.reduce((sum, count) => sum + count, 0);
	if (tokens !== streams * tokensPerStream) {
		throw new Error(`read ${tokens} of ${streams * tokensPerStream} tokens`);
	}

	console.log(`${lines} tokens per piece: ${Math.round(tokens / seconds)} tokens/s, ${(active * 1000 / tokens).toFixed(2)} us of the main loop per token`);
	await Promise.all(clients.map(async client => client.close()));
	await Promise.all(started.map(async ({worker}) => worker.terminate()));
}

/** Runs the bench. Prints tokens a second for each piece size. */
export async function runEngineStreamBench(): Promise<void> {
	console.log(`${streams} streams of ${tokensPerStream} tokens from ${engines} engines`);
	for (const lines of linesPerPiece) {
		await measure(lines);
	}
}
