import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {parseLogLines} from './index.js';

const toText = (message: string, time: string, over: Record<string, unknown> = {}) => JSON.stringify({
	level: 'info', message, time, program: 'banyanport-relay', host: 'front-a-1', zone: 'a', incarnation: 1, ...over,
});

describe('parseLogLines', () => {
	it('orders the lines of several hosts, and ignores text that a collector wrote before them', () => {
		const {lines, unreadable} = parseLogLines([
			`  3.25 front-a-1 ${toText('sent', '2026-12-02T10:00:02.000Z', {server: 's1', attempt: 1})}\n`,
			`${toText('listening', '2026-12-02T10:00:01.000Z', {host: 'front-b-1'})}\nbuilt in 2 s\n\n`,
		]);
		assert.deepEqual(lines.map(({message, host}) => [message, host]), [['listening', 'front-b-1'], ['sent', 'front-a-1']]);
		assert.deepEqual(lines[1]!.fields, {server: 's1', attempt: 1});
		assert.equal(unreadable, 1);
	});

	it('does not throw for any text', () => {
		fc.assert(fc.property(fc.array(fc.oneof(fc.string(), fc.json(), fc.json().map(text => `x ${text}`))), texts => {
			const {lines} = parseLogLines(texts);
			assert.ok(lines.every(({at}) => Number.isFinite(at)));
		}));
	});
});
