import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type LogLine} from '../parse-log-lines/index.js';
import {toEventTimeline} from './index.js';

const toLine = (at: number, host: string, message: string, fields: LogLine['fields'] = {}): LogLine => ({
	at, message, host, fields, level: 'info',
});

describe('toBeliefTimeline', () => {
	it('makes one row of one change, and tells who knew first and who last', () => {
		const rows = toEventTimeline([
			toLine(0, 'a', 'server changed', {server: 's', state: 'gone', revision: 4}),
			toLine(300, 'b', 'server changed', {server: 's', state: 'gone', revision: 5}),
			toLine(400, 'b', 'request ended', {requestId: 'r'}),
		]);
		assert.deepEqual(rows, [{
			message: 'server changed', subject: 'server=s state=gone', firstAt: 0, lastAt: 300, hosts: ['a', 'b'],
		}]);
	});

	it('keeps apart what one host says twice, and what comes much later', () => {
		const lines = [0, 100, 40_000].map(at => toLine(at, 'a', 'platform does not answer'));
		assert.equal(toEventTimeline(lines).length, 3);
		assert.equal(toEventTimeline([toLine(0, 'a', 'stopping'), toLine(20_000, 'b', 'stopping')]).length, 2);
	});
});
