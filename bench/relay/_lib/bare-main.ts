/**
 * Bare relay, the control of the bench: a process that makes the same calls as the
 * entry and forwards the tokens, without any routing decisions. Its added latency is the
 * cost of one more hop on this machine under the current load.
 */
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {createEngineHttp, type EngineHttp} from '../../../src/adapters/engine-http/index.js';

export type BareStart = {
	prefillUrl: string;
	decodeUrl: string;
	maxTokens: number;
};

async function relay(prefill: EngineHttp, decode: EngineHttp, start: BareStart, res: ServerResponse): Promise<void> {
	const key = {requestId: `bare-${Math.random()}`, attempt: 1, owner: {host: 'bench', incarnation: 1}};
	const {maxTokens} = start;
	const reserved = await decode.reserve(key, {
		promptTokens: 7, maxTokens, ttlMs: 5000, class: 'quick',
	});
	const prefilled = await prefill.prefill({
		key, model: 'm', version: '1', adapter: undefined, prompt: 'Dear sir, your letter of May', class: 'quick', deadlineInMs: 5000,
	});
	const {reservationId} = reserved._unsafeUnwrap();
	await decode.importKv({
		key, reservationId, fromUrl: start.prefillUrl, kvId: prefilled._unsafeUnwrap().kvId,
	});
	const stream = await decode.decode({
		key, reservationId, maxTokens, class: 'quick',
	});
	for await (const chunk of stream._unsafeUnwrap()) {
		res.write(`data: ${JSON.stringify({text: chunk.tokens.join('')})}\n\n`);
	}

	res.end('data: [DONE]\n\n');
}

process.on('message', (start: BareStart) => {
	const prefill = createEngineHttp({server: {id: 'p', url: start.prefillUrl}, connections: 1000});
	const decode = createEngineHttp({server: {id: 'd', url: start.decodeUrl}, connections: 1000});
	const server = createServer((req, res) => {
		req.resume();
		req.once('end', () => {
			void relay(prefill, decode, start, res);
		});
	});
	server.listen(0, '127.0.0.1', () => {
		process.send!({url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`});
	});
});
process.on('disconnect', () => {
	process.exit(0);
});
