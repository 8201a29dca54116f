import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type LogLine} from '../parse-log-lines/index.js';
import {toRequestHistory} from './index.js';

const toLine = (at: number, message: string, fields: LogLine['fields'] = {}, host = 'a'): LogLine => ({
	at, message, host, fields, level: 'info',
});

const ofRequest = (at: number, message: string, fields: LogLine['fields'] = {}) => toLine(at, message, {requestId: 'r', ...fields});

/*
 * An operator knows only the id of a request and has the log lines of all hosts. The
 * history must show how the request's own host saw the servers concerned, and not
 * how other hosts saw them, since these did not influence the request.
 */
describe('toRequestHistory', () => {
	const logLines = [
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

	it('shows the request, and the changes of its servers as seen by its host', () => {
		const history = toRequestHistory(logLines, 'r');
		assert.equal(history.own.length, 4);
		assert.deepEqual(history.beliefs.map(({at}) => at), [63_000]);
	});

	it('reports the last failure', () => {
		assert.match(toRequestHistory(logLines, 'r').verdict!, /the connection was reset/v);
	});

	it('says that every decode server was full when that was the cause', () => {
		const lines = [ofRequest(0, 'request received'), ofRequest(5, 'every server is full'), ofRequest(900, 'request ended', {reason: 'no-capacity'})];
		assert.match(toRequestHistory(lines, 'r').verdict!, /^no-capacity: .*every decode server was full/v);
	});

	it('explains a request that another host served, by the end that its caller saw', () => {
		const lines = [
			toLine(0, 'no server of the pool can be reached', {pool: 'desk'}),
			ofRequest(1000, 'request received'),
			ofRequest(1001, 'passed on', {peerAddress: '10.0.0.2:7380'}),
			toLine(1002, 'request received', {requestId: 'r'}, 'b'),
			ofRequest(1500, 'request ended', {reason: 'deadline-passed'}),
			// The clock of the other host is ahead.
			toLine(1600, 'request ended', {requestId: 'r', reason: 'complete'}, 'b'),
		];
		const {beliefs, verdict} = toRequestHistory(lines, 'r');
		assert.match(verdict!, /^deadline-passed: .*passed on by a/v);
		assert.deepEqual(beliefs.map(({message}) => message), ['no server of the pool can be reached']);
	});

	it('leads from a request that continues a stream to the one that began it', () => {
		const toVerdict = (message: string, fields: LogLine['fields']) => toRequestHistory([
			ofRequest(0, 'request received', fields), ofRequest(1, message, fields), ofRequest(2, 'request ended', {reason: 'complete'}),
		], 'r').verdict!;
		assert.match(toVerdict('stream origin found', {resumes: '9c41', softwareVersion: 'v1'}), /began with request 9c41 at software version v1/v);
		assert.match(toVerdict('stream origin unknown', {resumes: '9c41'}), /began with request 9c41$/v);
		assert.match(toVerdict('stream origin unknown', {lastEventId: '3'}), /its caller did not name$/v);
	});

	it('has no verdict for a request that no host logged, or whose end is missing', () => {
		assert.deepEqual(toRequestHistory(logLines, 'other'), {own: [], beliefs: [], verdict: undefined});
		assert.equal(toRequestHistory([ofRequest(0, 'request received')], 'r').verdict, undefined);
	});
});
