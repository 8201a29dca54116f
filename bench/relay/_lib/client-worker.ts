/** Worker thread of callers. Each caller reads one stream after the other to its end until the main thread sends a message. */
import {Buffer} from 'node:buffer';
import {parentPort, workerData} from 'node:worker_threads';
import {Agent, request} from 'undici';

export type ClientWorkerData = {
	url: string;
	streams: number;
	maxTokens: number;
};

export type ClientReport = {
	whole: number;
	broken: number;
	bytes: number;
};

const {url, streams, maxTokens} = workerData as ClientWorkerData;
const endMark = Buffer.from('data: [DONE]\n\n');
const dispatcher = new Agent({connections: streams, pipelining: 1});
const report: ClientReport = {whole: 0, broken: 0, bytes: 0};
const stop = new AbortController();

async function readOne(): Promise<void> {
	const {body, statusCode} = await request(`${url}/v1/completions`, {
		method: 'POST', dispatcher, headers: {'content-type': 'application/json'}, body: JSON.stringify({
			model: 'm', prompt: 'Dear sir, your letter of May', max_tokens: maxTokens, stream: true,
		}),
	});
	let last: Buffer = Buffer.alloc(0);
	for await (const piece of body as AsyncIterable<Buffer>) {
		report.bytes += piece.length;
		last = piece.length >= endMark.length ? piece : Buffer.concat([last, piece]);
	}

	const isWhole = statusCode === 200 && last.subarray(-endMark.length).equals(endMark);
	report[isWhole ? 'whole' : 'broken']++;
}

async function readMany(): Promise<void> {
	while (!stop.signal.aborted) {
		try {
			await readOne();
		} catch {
			report.broken++;
		}
	}
}

parentPort!.on('message', () => {
	stop.abort();
});
await Promise.all(Array.from({length: streams}, readMany));
parentPort!.postMessage(report);
await dispatcher.close();
process.exit(0);
