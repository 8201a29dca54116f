import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLog} from '../../../adapters/log/index.js';
import {createCrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {createPartQuarantine} from '../../../domain/create-part-quarantine/index.js';
import {createCollectedLines} from '../../../../test/_lib/create-collected-lines/index.js';
import {type RunEnd} from '../../../domain/judge-run-end/index.js';
import {findQuarantine, mergeCrashReports, noteRunEnd} from './quarantine.js';
import {type ServeContext} from './serve-types.js';

function createServe() {
	const collected = createCollectedLines();
	const suspects = createCrashSuspects();
	const log = createLog({
		level: 'info', program: 'test', host: 'h', zone: 'z', incarnation: 1, sink: collected.sink,
	});
	const ctx = {
		suspects, partQuarantine: createPartQuarantine(), log, services: {clock: {now: () => 0, wallNow: () => 0}},
	} as unknown as ServeContext;
	return {ctx, suspects, lines: collected.lines};
}

describe('noteRunEnd', () => {
	it('logs a quarantine once, with the fingerprint of the request and the crashed servers', () => {
		const {ctx, lines} = createServe();
		for (const server of ['a', 'b', 'c', 'd']) {
			noteRunEnd({
				fingerprint: 'f', parts: [], server, startedAt: 0, end: {kind: 'closed'},
			}, ctx);
		}

		const told = lines().filter(({message}) => message === 'request quarantined').map(({message, fingerprint, servers, count}) => ({
			message, fingerprint, servers, count,
		}));
		assert.deepEqual(told, [{
			message: 'request quarantined', fingerprint: 'f', servers: 'a b c', count: 3,
		}]);
	});

	/* Guards against quarantine because of servers that did not answer, sent an invalid answer, or did not run the request. */
	it('counts only connections that the server closed while nothing else is known, and only requests with a fingerprint', () => {
		const {ctx, suspects} = createServe();
		for (const server of ['a', 'b', 'c']) {
			for (const kind of ['without-answer', 'failed', 'not-run'] as const) {
				noteRunEnd({
					fingerprint: 'f', parts: [], server, startedAt: 0, end: {kind},
				}, ctx);
			}

			noteRunEnd({
				fingerprint: undefined, parts: [], server, startedAt: 0, end: {kind: 'closed'},
			}, ctx);
		}

		assert.deepEqual(suspects.count(0), {suspects: 0, quarantined: 0});
	});

	/* Guards against a request that ends servers silently, or after its callers have left. */
	it('counts runs without an answer when connections of another request show that the server ended', () => {
		const {ctx, suspects, lines} = createServe();
		for (const server of ['a', 'b', 'c']) {
			noteRunEnd({
				fingerprint: 'f', parts: [], server, startedAt: 0, end: {kind: 'without-answer'},
			}, ctx);
			noteRunEnd({
				fingerprint: `beside-${server}`, parts: [], server, startedAt: 0, end: {kind: 'closed'},
			}, ctx);
		}

		assert.ok(suspects.isQuarantined('f', 0));
		assert.deepEqual(lines().filter(({message}) => message === 'request quarantined').map(({fingerprint}) => fingerprint), ['f']);
	});

	it('clears a request by answers that prove that their servers survived, and by no others', () => {
		const {ctx, suspects} = createServe();
		let now = 0;
		ctx.services.clock.now = () => now;
		const note = (end: RunEnd, server = 'a') => {
			noteRunEnd({
				fingerprint: 'f', parts: [], server, startedAt: 0, end,
			}, ctx);
		};

		for (const server of ['a', 'b']) {
			note({kind: 'closed'}, server);
		}

		for (const status of [400, 500]) {
			note({
				kind: 'answered', status, framing: 'length', isRun: true,
			});
		}

		note({
			kind: 'answered', status: 200, framing: 'connection', isRun: true,
		});
		assert.deepEqual(suspects.listReports(now).map(({survivalAgesMs}) => survivalAgesMs), [undefined]);
		for (let n = 0; n < 8; n++) {
			now += 250;
			note({
				kind: 'answered', status: 200, framing: 'chunks', isRun: true,
			});
		}

		assert.equal(suspects.crashedServers('f', now).length, 0);
	});
});

/* Guards against a request that ends servers after its callers have left, while the requests beside it run at other hosts. */
describe('mergeCrashReports', () => {
	it('counts runs without an answer at a server of which another host reports that it closed connections', () => {
		const {ctx, suspects, lines} = createServe();
		for (const server of ['a', 'b', 'c']) {
			noteRunEnd({
				fingerprint: 'f', parts: [], server, startedAt: -1000, end: {kind: 'without-answer'},
			}, ctx);
		}

		const toReport = (server: string, ageMs: number) => ({fingerprint: `beside-${server}`, idleMs: ageMs, crashes: [{server, ageMs}]});
		const merge = (reports: ReadonlyArray<ReturnType<typeof toReport>>) => {
			mergeCrashReports({crashes: reports, partCrashes: []}, {
				suspects, partQuarantine: ctx.partQuarantine, now: 0, log: ctx.log, peer: 'another',
			});
		};

		merge([toReport('a', 10), toReport('b', 10), toReport('c', 5000)]);
		assert.deepEqual(suspects.crashedServers('f', 0), ['a', 'b'], 'one server ended before the run began');
		merge([toReport('c', 10)]);
		assert.deepEqual(lines().filter(({message}) => message === 'request quarantined').map(({fingerprint}) => fingerprint), ['f']);
	});
});

/* Guards against parts of prompts that are blamed or cleared otherwise than the requests that have them. */
describe('noteRunEnd for parts of a prompt', () => {
	it('counts crashes and survivals for each part, logs a quarantine and its end once, and refuses no trial', () => {
		const {ctx, lines} = createServe();
		let now = 0;
		ctx.services.clock.now = () => now;
		const endRun = (server: string, parts: readonly string[], end: RunEnd) => {
			noteRunEnd({
				fingerprint: `f-${server}`, parts, server, startedAt: now, end,
			}, ctx);
		};

		const toCause = (parts: readonly string[], isTrial = false) => findQuarantine({fingerprint: undefined, parts, isTrial}, {...ctx, now});
		for (const server of ['a', 'b', 'c', 'd']) {
			now += 2000;
			endRun(server, ['first', 'fatal'], {kind: 'closed'});
			endRun('alive', ['first'], {
				kind: 'answered', status: 200, framing: 'chunks', isRun: true,
			});
		}

		assert.equal(toCause(['other', 'fatal']), 'parts');
		assert.equal(toCause(['first']), undefined);
		assert.equal(toCause(['fatal'], true), undefined);
		endRun('alive', ['fatal'], {
			kind: 'answered', status: 200, framing: 'length', isRun: true,
		});
		assert.equal(toCause(['fatal']), undefined);
		const told = lines().filter(({parts}) => parts !== undefined).map(({message, parts, count}) => ({message, parts, count}));
		assert.deepEqual(told, [{message: 'prompt parts quarantined', parts: 'fatal', count: 4}, {message: 'prompt parts released', parts: 'fatal', count: undefined}]);
	});
});
