import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type DecodeChunk} from '../../ports/engine.js';
import {createAnswerBuffer} from './index.js';

const chunk = (offset: number, tokens: readonly string[], rest: Partial<DecodeChunk> = {}): DecodeChunk => ({
	requestId: 'r1', attempt: 1, offset, tokens, finish: undefined, ...rest,
});

function createStarted() {
	const buffer = createAnswerBuffer({requestId: 'r1', keepsTokens: true});
	buffer.startAttempt(1);
	buffer.accept(chunk(0, ['a', 'b']));
	return buffer;
}

describe('createAnswerBuffer', () => {
	const cases: ReadonlyArray<[string, DecodeChunk, Record<string, unknown>]> = [
		['takes the next token', chunk(2, ['c']), {
			kind: 'fresh', text: 'c', tokens: 1, finish: undefined,
		}],
		['takes only the new part of an overlapping chunk', chunk(1, ['b', 'c']), {
			kind: 'fresh', text: 'c', tokens: 1, finish: undefined,
		}],
		['takes an end mark without tokens', chunk(2, [], {finish: 'stop'}), {
			kind: 'fresh', text: '', tokens: 0, finish: 'stop',
		}],
		['drops a chunk sent twice', chunk(0, ['a', 'b']), {kind: 'dropped', cause: 'repeated'}],
		['drops an end mark before accepted tokens', chunk(1, [], {finish: 'stop'}), {kind: 'dropped', cause: 'repeated'}],
		['drops another request\'s chunk', chunk(2, ['x'], {requestId: 'r2'}), {kind: 'dropped', cause: 'other-request'}],
		['drops an earlier attempt\'s chunk', chunk(2, ['x'], {attempt: 0}), {kind: 'dropped', cause: 'other-attempt'}],
		['reports missing tokens', chunk(3, ['d']), {kind: 'gap', offset: 2}],
		['reports an end mark past missing tokens', chunk(5, [], {finish: 'stop'}), {kind: 'gap', offset: 2}],
	];
	for (const [name, input, expected] of cases) {
		it(name, () => {
			assert.deepEqual(createStarted().accept(input), expected);
		});
	}

	it('drops everything after the end', () => {
		const buffer = createStarted();
		buffer.accept(chunk(2, [], {finish: 'stop'}));
		assert.deepEqual(buffer.accept(chunk(2, ['c'])), {kind: 'dropped', cause: 'after-end'});
	});

	it('continues a later attempt after what was accepted', () => {
		const buffer = createStarted();
		buffer.startAttempt(2);
		buffer.accept(chunk(2, ['x']));
		buffer.accept(chunk(2, ['c'], {attempt: 2, finish: 'stop'}));
		assert.deepEqual(buffer.tokens(), ['a', 'b', 'c']);
		assert.equal(buffer.offset(), 3);
	});

	it('yields exactly the answer from any chunking with repeats and chunks of other attempts', () => {
		const tokens = fc.array(fc.string({maxLength: 3}), {minLength: 1, maxLength: 30});
		const noise = fc.array(fc.record({from: fc.nat(30), count: fc.nat(6), stranger: fc.boolean()}), {maxLength: 40});
		fc.assert(fc.property(tokens, noise, (answer, pieces) => {
			const buffer = createAnswerBuffer({requestId: 'r1', keepsTokens: true});
			buffer.startAttempt(1);
			let relayed = '';
			const offer = (input: DecodeChunk) => {
				const taken = buffer.accept(input);
				relayed += taken.kind === 'fresh' ? taken.text : '';
			};

			for (const {from, count, stranger} of pieces) {
				offer(stranger
					? chunk(from, ['!'], {attempt: 7})
					: chunk(from, answer.slice(from, from + count)));
			}

			offer(chunk(buffer.offset(), answer.slice(buffer.offset()), {finish: 'stop'}));
			assert.equal(relayed, answer.join(''));
			assert.deepEqual(buffer.tokens(), answer);
		}));
	});
});
