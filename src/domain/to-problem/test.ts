import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Outcome} from '../../ports/outcome.js';
import {toProblem, type ProblemKind} from './index.js';

describe('toProblem', () => {
	it('carries type, status, outcome and request id', () => {
		const {status, body} = toProblem({kind: 'no-capacity', detail: 'All servers are full.', outcome: 'not-run'}, 'r1');
		assert.equal(status, 503);
		assert.deepEqual(JSON.parse(body), {
			type: 'urn:banyanport:problem:no-capacity',
			title: 'No backend server can take the request',
			status: 503,
			detail: 'All servers are full.',
			outcome: 'not-run',
			requestId: 'r1',
		});
	});

	for (const [retryAfterMs, header] of [[1, '1'], [1000, '1'], [1001, '2'], [undefined, undefined]] as const) {
		it(`writes Retry-After ${header ?? 'not at all'} for ${retryAfterMs ?? 'no'} milliseconds`, () => {
			const {headers} = toProblem({
				kind: 'queue-full', detail: '', outcome: 'not-run', retryAfterMs,
			}, 'r1');
			assert.equal(headers['retry-after'], header);
		});
	}

	/*
	 * Callers that read only the status repeat a request after a 503 and never after a
	 * 502. A 503 for work that a server may have accepted makes the work run twice; a
	 * 502 for work that no server accepted makes the caller give up needlessly.
	 */
	const statuses: ReadonlyArray<{kind: ProblemKind; outcome: Outcome; status: number}> = [
		{kind: 'no-capacity', outcome: 'not-run', status: 503},
		{kind: 'no-capacity', outcome: 'may-have-run', status: 502},
		{kind: 'target-missed', outcome: 'may-have-run', status: 502},
		{kind: 'queue-full', outcome: 'ran', status: 502},
		{kind: 'slow-request', outcome: 'may-have-run', status: 502},
		{kind: 'backend-failed', outcome: 'not-run', status: 503},
		{kind: 'backend-failed', outcome: 'may-have-run', status: 502},
		{kind: 'deadline-passed', outcome: 'not-run', status: 503},
		{kind: 'deadline-passed', outcome: 'may-have-run', status: 504},
		{kind: 'body-too-large', outcome: 'not-run', status: 413},
	];
	for (const {kind, outcome, status} of statuses) {
		it(`writes status ${status} for ${kind} with ${outcome} when callers read only the status`, () => {
			assert.equal(toProblem({kind, detail: '', outcome}, 'r1', {isOutcomeInStatus: true}).status, status);
		});
	}

	it('writes fractions of a second, and other statuses, for callers that expect them', () => {
		const document = toProblem({
			kind: 'no-rule', detail: '', outcome: 'not-run', retryAfterMs: 3456,
		}, 'r1', {hasFractionalSeconds: true, statuses: {'no-rule': 404}});
		assert.deepEqual([document.status, document.headers['retry-after']], [404, '3.46']);
	});
});
