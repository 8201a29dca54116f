import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type LogLine} from '../parse-log-lines/index.js';
import {toEventTimeline} from './index.js';

const toLine = (at: number, host: string, message: string, fields: LogLine['fields'] = {}): LogLine => ({
	at, message, host, fields, level: 'info',
});

describe('toEventTimeline', () => {
	it('merges one change at several hosts into one row, with first and last time', () => {
		const rows = toEventTimeline([
			toLine(0, 'a', 'server changed', {server: 's', state: 'gone', revision: 4}),
			toLine(300, 'b', 'server changed', {server: 's', state: 'gone', revision: 5}),
			toLine(400, 'b', 'request ended', {requestId: 'r'}),
		]);
		assert.deepEqual(rows, [{
			message: 'server changed', subject: 'server=s state=gone', firstAt: 0, lastAt: 300, hosts: ['a', 'b'],
		}]);
	});

	it('keeps lines apart that one host repeats, or that come much later', () => {
		const lines = [0, 100, 40_000].map(at => toLine(at, 'a', 'platform does not answer'));
		assert.equal(toEventTimeline(lines).length, 3);
		assert.equal(toEventTimeline([toLine(0, 'a', 'stopping'), toLine(20_000, 'b', 'stopping')]).length, 2);
	});
});
