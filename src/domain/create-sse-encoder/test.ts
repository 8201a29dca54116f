import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createSseEncoder, toAnswerBody, type AnswerHead} from './index.js';

const head = (kind: AnswerHead['kind']): AnswerHead => ({
	kind, id: 'x-1', created: 7, model: 'post "summary"',
});

type AnswerEvent = {
	choices: Array<{text?: string; delta?: {content: string}; finish_reason: string}>;
	usage?: unknown;
};

const parseData = (event: string) => JSON.parse(event.replace(/^data: /v, '')) as AnswerEvent;

describe('createSseEncoder', () => {
	it('writes any text as one event that decodes to it', () => {
		fc.assert(fc.property(fc.string({unit: 'binary'}), text => {
			const completion = createSseEncoder(head('completion')).text(text);
			assert.equal(parseData(completion).choices[0]!.text, text);
			assert.equal(completion.indexOf('\n\n'), completion.length - 2);
			assert.equal(parseData(createSseEncoder(head('chat')).text(text)).choices[0]!.delta!.content, text);
		}));
	});

	for (const kind of ['completion', 'chat'] as const) {
		it(`ends a ${kind} with reason and usage`, () => {
			const sse = createSseEncoder(head(kind));
			assert.equal(parseData(sse.finish('length')).choices[0]!.finish_reason, 'length');
			const usage = parseData(sse.usage({promptTokens: 3, cachedTokens: 1, completionTokens: 2}));
			assert.deepEqual(usage.usage, {
				prompt_tokens: 3, completion_tokens: 2, total_tokens: 5, prompt_tokens_details: {cached_tokens: 1},
			});
		});
	}

	it('writes an event named error', () => {
		assert.equal(createSseEncoder(head('chat')).error({status: 502, headers: {}, body: '{}'}), 'event: error\ndata: {}\n\n');
	});
});

describe('toAnswerBody', () => {
	it('contains the whole text', () => {
		const body = toAnswerBody(head('chat'), {text: 'Dober dan', finish: 'stop', usage: {promptTokens: 1, cachedTokens: 0, completionTokens: 2}});
		assert.deepEqual(JSON.parse(body).choices, [{index: 0, message: {role: 'assistant', content: 'Dober dan'}, finish_reason: 'stop'}]);
	});
});
