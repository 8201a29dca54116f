import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toProblem} from './index.js';

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
});
