import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {judgeRunEnd, type RunEnd, type RunVerdict} from './index.js';

const toAnswered = (answered: Partial<Extract<RunEnd, {kind: 'answered'}>>): RunEnd => ({
	kind: 'answered', status: 200, framing: 'length', isRun: true, ...answered,
});

describe('judgeRunEnd', () => {
	const cases: ReadonlyArray<[string, RunEnd, RunVerdict]> = [
		['an answer with a length', toAnswered({}), 'survived'],
		['an answer in chunks', toAnswered({framing: 'chunks'}), 'survived'],
		['an answer without a body', toAnswered({status: 204, framing: 'none'}), 'survived'],
		['an answer that ends with its connection', toAnswered({framing: 'connection'}), 'survived-if-alive'],
		['an error that ends with its connection', toAnswered({status: 500, framing: 'connection'}), 'crashed-if-ended'],
		['a computed prompt', toAnswered({isRun: false}), 'none'],
		['a computed prompt whose answer ends with its connection', toAnswered({isRun: false, framing: 'connection'}), 'crashed-if-ended'],
		['a rejection', toAnswered({status: 400}), 'none'],
		['a redirection', toAnswered({status: 302}), 'none'],
		['an error that is relayed', toAnswered({status: 500}), 'none'],
		['an error after which another server is tried', {kind: 'failed'}, 'none'],
		['a refusal', {kind: 'not-run'}, 'none'],
		['a closed connection', {kind: 'closed'}, 'crashed-unless-alive'],
		['silence', {kind: 'without-answer'}, 'crashed-if-ended'],
	];
	for (const [what, end, verdict] of cases) {
		it(`is ${verdict} after ${what}`, () => {
			assert.equal(judgeRunEnd(end), verdict);
		});
	}
});
