import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type RunEnd} from '../../../../domain/judge-run-end/index.js';
import {type PlainEnd} from '../../send-plain/index.js';
import {toRunEnd} from './to-run-end.js';

describe('toRunEnd', () => {
	const message = '';
	const cases: ReadonlyArray<[string, PlainEnd, RunEnd['kind']]> = [
		['a connection that the server closed', {kind: 'failed', fault: {kind: 'broken', message, isClosed: true}}, 'closed'],
		['a stream that the server broke off', {kind: 'cut', fault: {kind: 'broken', message, isClosed: true}}, 'closed'],
		['a timeout', {kind: 'failed', fault: {kind: 'broken', message}}, 'without-answer'],
		['a deadline', {kind: 'failed', fault: {kind: 'aborted', message}}, 'without-answer'],
		['a deadline before the call was sent', {kind: 'failed', fault: {kind: 'aborted', message, isUnsent: true}}, 'not-run'],
		['a caller that left', {kind: 'caller-gone'}, 'without-answer'],
		['a caller that left before the call was sent', {kind: 'caller-gone', isUnsent: true}, 'not-run'],
		['an answer to another request', {kind: 'failed', fault: {kind: 'invalid', message}}, 'without-answer'],
		['an error after which another server is tried', {kind: 'failed', fault: {kind: 'failed-answer', message}}, 'failed'],
		['a refusal', {kind: 'failed', fault: {kind: 'refused', reason: 'full', message}}, 'not-run'],
		['a server that can\'t be connected', {kind: 'failed', fault: {kind: 'unreachable', message}}, 'not-run'],
	];
	for (const [what, ended, kind] of cases) {
		it(`is ${kind} after ${what}`, () => {
			assert.equal(toRunEnd(ended).kind, kind);
		});
	}

	it('tells how a whole answer was framed', () => {
		assert.deepEqual(toRunEnd({kind: 'complete', status: 200, answer: {framing: 'chunks'}}), {
			kind: 'answered', status: 200, framing: 'chunks', isRun: true,
		});
	});
});
