import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {parseCompletionRequest} from './index.js';

const options = {defaultMaxTokens: 16, maxTokensLimit: 100};
const messages = [{role: 'user', content: 'Hi'}];

describe('parseCompletionRequest', () => {
	it('reads a completion with its defaults', () => {
		assert.deepEqual(parseCompletionRequest('completion', '{"model":"m","prompt":"Hi"}', options)._unsafeUnwrap(), {
			kind: 'completion', model: 'm', prompt: 'Hi', maxTokens: 16, stream: false, includesUsage: false,
		});
	});

	it('joins the messages of a chat, text parts included', () => {
		const body = {model: 'm', messages: [{role: 'system', content: 'Be short'}, {role: 'user', content: [{type: 'text', text: 'Hi'}]}]};
		const request = parseCompletionRequest('chat', JSON.stringify(body), options)._unsafeUnwrap();
		assert.equal(request.prompt, 'system: Be short\nuser: Hi\nassistant:');
	});

	const faults: ReadonlyArray<['chat' | 'completion', unknown, RegExp]> = [
		['completion', [], /JSON object/v],
		['completion', {prompt: 'Hi'}, /"model"/v],
		['completion', {model: 'm'}, /"prompt"/v],
		['completion', {model: 'm', prompt: ['a', 'b']}, /"prompt"/v],
		['completion', {model: 'm', prompt: 'Hi', max_tokens: 0}, /"max_tokens"/v],
		['completion', {model: 'm', prompt: 'Hi', max_tokens: 101}, /"max_tokens"/v],
		['completion', {model: 'm', prompt: 'Hi', max_completion_tokens: '5'}, /"max_completion_tokens"/v],
		['completion', {model: 'm', prompt: 'Hi', stream: 'yes'}, /"stream"/v],
		['completion', {model: 'm', prompt: 'Hi', n: 2}, /"n" is not supported/v],
		['completion', {model: 'm', prompt: 'Hi', stop: ['x']}, /"stop" is not supported/v],
		['chat', {model: 'm', messages: []}, /"messages"/v],
		['chat', {model: 'm', messages: [...messages, {role: 'user', content: 5}]}, /"messages\[1\]"/v],
	];
	for (const [kind, body, message] of faults) {
		it(`refuses ${JSON.stringify(body)}`, () => {
			assert.match(parseCompletionRequest(kind, JSON.stringify(body), options)._unsafeUnwrapErr().message, message);
		});
	}

	it('refuses any text that is not JSON, and never quotes it', () => {
		fc.assert(fc.property(fc.string(), text => {
			const result = parseCompletionRequest('completion', `secret${text}`, options);
			assert.ok(result.isErr() && !result.error.message.includes('secret'));
		}));
	});
});
