import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLog} from '../../../adapters/log/index.js';
import {createCrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {createCollectedLines} from '../../../../test/_lib/create-collected-lines/index.js';
import {noteBrokenCall} from './quarantine.js';
import {type ServeContext} from './serve-types.js';

function createServe() {
	const collected = createCollectedLines();
	const suspects = createCrashSuspects();
	const log = createLog({
		level: 'info', program: 'test', host: 'h', zone: 'z', incarnation: 1, sink: collected.sink,
	});
	const ctx = {suspects, log, services: {clock: {now: () => 0, wallNow: () => 0}}} as unknown as ServeContext;
	return {ctx, suspects, lines: collected.lines};
}

describe('noteBrokenCall', () => {
	it('logs once, with the fingerprint of the request and the crashed servers', () => {
		const {ctx, lines} = createServe();
		for (const server of ['a', 'b', 'c', 'd']) {
			noteBrokenCall({fingerprint: 'f', server, fault: {isClosed: true}}, ctx);
		}

		const told = lines().map(({message, fingerprint, servers, count}) => ({
			message, fingerprint, servers, count,
		}));
		assert.deepEqual(told, [{
			message: 'request quarantined', fingerprint: 'f', servers: 'a b c', count: 3,
		}]);
	});

	/* Guards against quarantine because of servers that did not answer or sent an invalid answer. */
	it('counts only connections that the server closed, and only requests with a fingerprint', () => {
		const {ctx, suspects} = createServe();
		for (const server of ['a', 'b', 'c']) {
			noteBrokenCall({fingerprint: 'f', server, fault: {}}, ctx);
			noteBrokenCall({fingerprint: undefined, server, fault: {isClosed: true}}, ctx);
		}

		assert.deepEqual(suspects.count(0), {suspects: 0, quarantined: 0});
	});
});
