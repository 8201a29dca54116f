import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type LogLine} from '../parse-log-lines/index.js';
import {toRequestHistory} from './index.js';

const toLine = (at: number, message: string, fields: LogLine['fields'] = {}, host = 'a'): LogLine => ({
	at, message, host, fields, level: 'info',
});

const ofRequest = (at: number, message: string, fields: LogLine['fields'] = {}) => toLine(at, message, {requestId: 'r', ...fields});

/*
 * A caller complains and has an id, nothing else. On-call has the lines of all
 * hosts. The story must show what the request's own host believed of the servers
 * concerned, and not what others did.
 */
describe('toRequestStory', () => {
	const cut = [
		toLine(50_000, 'server changed', {server: 's1', state: 'serving'}),
		ofRequest(61_000, 'request received', {rule: 'notices'}),
		ofRequest(61_010, 'prompt computed', {prefillServer: 'p1', decodeServer: 's1'}),
		toLine(61_500, 'server changed', {server: 's2', state: 'gone'}),
		toLine(61_600, 'server changed', {server: 's1', state: 'gone'}, 'b'),
		ofRequest(62_000, 'attempt failed', {server: 's1', kind: 'broken', reason: 'the connection was reset'}),
		ofRequest(62_001, 'request ended', {reason: 'failed', outcome: 'may-have-run'}),
		toLine(63_000, 'server changed', {server: 's1', state: 'gone'}),
		toLine(80_000, 'server changed', {server: 's1', state: 'serving'}),
	];

	it('shows the request and what its host came to believe of its servers', () => {
		const story = toRequestHistory(cut, 'r');
		assert.equal(story.own.length, 4);
		assert.deepEqual(story.beliefs.map(({at}) => at), [63_000]);
	});

	it('names the last failure', () => {
		assert.match(toRequestHistory(cut, 'r').verdict!, /the connection was reset/v);
	});

	it('says that memory was short where that was the cause', () => {
		const lines = [ofRequest(0, 'request received'), ofRequest(5, 'every server is full'), ofRequest(900, 'request ended', {reason: 'no-capacity'})];
		assert.match(toRequestHistory(lines, 'r').verdict!, /^no-capacity: .*every decode server was full/v);
	});

	it('has nothing to say of a request that no host wrote of, or whose end is missing', () => {
		assert.deepEqual(toRequestHistory(cut, 'other'), {own: [], beliefs: [], verdict: undefined});
		assert.equal(toRequestHistory([ofRequest(0, 'request received')], 'r').verdict, undefined);
	});
});
