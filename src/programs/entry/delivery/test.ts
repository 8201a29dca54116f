import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {createJsonDelivery, createSseDelivery} from './index.js';

/** An exchange that records its calls. */
function createExchange(isReading = true) {
	const done: string[] = [];
	const exchange = {
		requestId: 'r',
		startStream: () => done.push('start'),
		write(text: string) {
			done.push(text);
			return true;
		},
		end: () => done.push('end'),
		destroy: () => done.push('destroy'),
		drained: async () => isReading,
		sendProblem: () => done.push('problem'),
		sendAnswer: (_status: number, _headers: unknown, body: string) => done.push(body),
	} as unknown as CallerExchange;
	return {exchange, done};
}

const options = {
	head: {
		kind: 'completion' as const, id: 'c', created: 0, model: 'm',
	},
	includesUsage: false,
	writeTimeoutMs: 1000,
};
const problem = {kind: 'answer-lost' as const, detail: 'Lost.', outcome: 'ran' as const};
const end = {finish: 'stop' as const, usage: {promptTokens: 1, cachedTokens: 0, completionTokens: 1}};

describe('createSseDelivery', () => {
	it('sends a problem document if nothing was relayed', () => {
		const {exchange, done} = createExchange();
		createSseDelivery(exchange, options).fail(problem);
		assert.deepEqual(done, ['problem']);
	});

	it('ends an answer that has begun with an error event, and without [DONE]', () => {
		const {exchange, done} = createExchange();
		const delivery = createSseDelivery(exchange, options);
		delivery.relay('a');
		delivery.fail(problem);
		assert.equal(done.at(-1), 'end');
		assert.match(done.join(''), /event: error\ndata: .*"outcome":"ran"/v);
		assert.ok(!done.join('').includes('[DONE]'));
	});

	it('completes an answer without tokens', () => {
		const {exchange, done} = createExchange();
		createSseDelivery(exchange, options).complete(end, []);
		assert.equal(done[0], 'start');
		assert.match(done[1]!, /"finish_reason":"stop"[\s\S]*\[DONE\]/v);
	});

	it('disconnects a caller that reads nothing', async () => {
		const {exchange, done} = createExchange(false);
		assert.equal(await createSseDelivery(exchange, options).drained(), false);
		assert.deepEqual(done, ['destroy']);
	});
});

describe('createJsonDelivery', () => {
	it('sends nothing before the answer is complete', () => {
		const {exchange, done} = createExchange();
		const delivery = createJsonDelivery(exchange, options);
		delivery.relay('a');
		assert.deepEqual(done, []);
		delivery.complete(end, ['a', 'b']);
		assert.match(done[0]!, /"text":"ab"/v);
	});
});
