import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createQuestions} from './index.js';

const options = {timeoutMs: 100, missesToSilence: 2, silentForMs: 3000};

function createAsked() {
	const questions = createQuestions<string>(options);
	const ends: Array<string | undefined> = [];
	const ask = (to: string, now: number) => questions.begin(to, answer => {
		ends.push(answer);
	}, now);
	return {questions, ends, ask};
}

describe('createQuestions', () => {
	it('ends a question once, with its answer or after its time', () => {
		const {questions, ends, ask} = createAsked();
		const first = ask('a', 0);
		const second = ask('a', 10);
		questions.answer(first, 'yes', 20);
		questions.answer(first, 'again', 21);
		assert.equal(questions.dueAt(), 110);
		questions.tick(110);
		questions.answer(second, 'late', 111);
		assert.deepEqual(ends, ['yes', undefined]);
		assert.equal(questions.dueAt(), undefined);
	});

	it('takes a host for silent after two misses in a row, until it is heard or the time has passed', () => {
		const {questions, ask} = createAsked();
		ask('a', 0);
		questions.tick(100);
		assert.equal(questions.isSilent('a', 100), false);
		ask('a', 100);
		questions.tick(200);
		assert.equal(questions.isSilent('a', 200), true);
		assert.equal(questions.isSilent('a', 3200), false);
		questions.noteHeard('a');
		assert.equal(questions.isSilent('a', 201), false);
	});
});
