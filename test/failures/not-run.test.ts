/*
 * Guards against a refusal with the outcome "not-run" for work that has begun. A
 * queue is full, a target would be missed, no server is left, no configuration is
 * there yet, the host stops, or a key can't be claimed. The caller has to learn at
 * once whether its request may have run; the test compares the outcome "not-run"
 * with the counts of the engines and the desk for that request.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {v4 as createRandomId, v7 as createKey} from 'uuid';
import {
	startFleet, usualRoutes, type Fleet, type FleetHost,
} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	startCall, type CallOptions, type CallResult, type StartedCall,
} from './_lib/start-call.js';
import {startPlainCall} from './_lib/start-plain-call.js';

const deadlineMs = 20_000;
const hourMs = 3_600_000;
const longText = 'All of your post of this year, in one scan. '.repeat(100);

const {question, letter} = usualRoutes;
const routes = {
	...usualRoutes,
	question: {...question, target: {firstToken: '1s', perToken: '50ms', complete: '1500ms'}},
	letter: {...letter, queueLimit: 3},
};

type CallReport = CallResult & {begun: number; tookMs: number};

describe('"not run"', () => {
	let fleet: Fleet;
	let host: FleetHost;

	before(async () => {
		fleet = await startFleet({
			zones: ['dvorana-a'],
			entryFlags: {clockBound: '0ms', drainDelay: '0ms', drainTimeout: '1s'},
			prefillEngine: {prefillTokensPerSecond: 2000},
			decodeEngine: {decodeTokensPerSecond: 50, slots: 3},
			config: {routes},
		});
		host = fleet.hosts[0]!;
	});
	afterEach(async () => {
		for (const engine of fleet.engines.values()) {
			engine.setFaults({});
			engine.setState('serving');
			await engine.revive();
		}

		await waitUntil(() => fleet.holds().length === 0, {deadlineMs, what: 'the engines to release all memory'});
		await waitUntil(async () => {
			const {isWhole} = await startCall(host.callerUrl, {prompt: 'Is all well again?'}).done;
			return isWhole;
		}, {deadlineMs, what: 'a whole answer after the faults ended', everyMs: 100});
	});
	after(async () => {
		await fleet.stop();
	});

	/** Sends a request; the report counts what had begun for it by the time of the answer. */
	function start(options: CallOptions): StartedCall & {report: Promise<CallReport>} {
		const sentAt = performance.now();
		const call = startCall(host.callerUrl, options);
		const toReport = async (): Promise<CallReport> => {
			const result = await call.done;
			const {prefillsStarted, decodesStarted} = fleet.judgeRequest(result.requestId);
			return {...result, begun: prefillsStarted + decodesStarted, tookMs: Math.round(performance.now() - sentAt)};
		};

		return {...call, report: toReport()};
	}

	function checkNotRun(report: CallReport, {kind, hasRetryAfter = true}: {kind: RegExp; hasRetryAfter?: boolean}): void {
		const text = JSON.stringify(report);
		assert.equal(report.outcome, 'not-run', text);
		assert.match(report.problem ?? '', kind, text);
		assert.equal(report.begun, 0, `the outcome is "not-run", but work began: ${text}`);
		assert.equal(report.retryAfter !== undefined, hasRetryAfter, `Retry-After is missing or unexpected: ${text}`);
	}

	function checkOutcome(report: CallReport): void {
		if (!report.isWhole) {
			assert.ok(report.outcome !== undefined, `no outcome: ${JSON.stringify(report)}`);
			assert.ok(report.outcome !== 'not-run' || report.begun === 0, `the outcome is "not-run", but work began: ${JSON.stringify(report)}`);
			assert.ok(report.outcome !== 'not-run' || report.retryAfter !== undefined, `no Retry-After: ${JSON.stringify(report)}`);
		}
	}

	it('is true when the queue is full, and answered at once', async t => {
		const calls = Array.from({length: 20}, (_, i) => start({prompt: `full ${i}`, maxTokens: 60}));
		const reports = await Promise.all(calls.map(async call => call.report));
		const refused = reports.filter(({isWhole}) => !isWhole);
		t.diagnostic(`${refused.length} of ${reports.length} refused, after ${Math.max(...refused.map(({tookMs}) => tookMs))} ms at most`);
		assert.ok(refused.length > 0, 'the queue was never full');
		for (const one of refused) {
			checkNotRun(one, {kind: /queue-full$/v});
		}
	});

	it('is true when the target would be missed', async t => {
		const calls = Array.from({length: 12}, (_, i) => start({prompt: `late ${i} ${longText}`, maxTokens: 5, isQuick: true}));
		const reports = await Promise.all(calls.map(async call => call.report));
		const missed = reports.filter(({problem}) => problem?.endsWith('target-missed'));
		const others = reports.filter(one => !missed.includes(one)).map(({outcome, problem, isWhole}) => isWhole ? 'whole' : `${outcome} ${problem}`);
		t.diagnostic(`${missed.length} of ${reports.length} would miss their target, refused after ${missed.map(({tookMs}) => tookMs).join(', ')} ms; others: ${others.join(', ')}`);
		assert.ok(missed.length > 0, 'no request was refused with target-missed');
		for (const one of reports) {
			checkOutcome(one);
		}

		for (const one of missed) {
			checkNotRun(one, {kind: /target-missed$/v});
		}
	});

	for (const role of ['prefill', 'decode'] as const) {
		it(`is true when every ${role} engine is gone`, async t => {
			await fleet.engine(`dvorana-a-${role}-1`).crash();
			const first = await start({prompt: `gone ${role}`}).report;
			checkOutcome(first);
			const later = await waitUntil(async () => {
				const report = await start({prompt: `gone ${role}, later`}).report;
				checkOutcome(report);
				return report.problem?.endsWith('no-capacity') && report;
			}, {deadlineMs, what: 'a refusal with no-capacity', everyMs: 200});
			t.diagnostic(`the first: ${first.outcome} ${first.problem} after ${first.tookMs} ms; later ${later.problem} after ${later.tookMs} ms`);
			checkNotRun(later, {kind: /no-capacity$/v});
		});

		it(`is true when every ${role} engine is leaving`, async () => {
			fleet.engine(`dvorana-a-${role}-1`).setState('leaving');
			const report = await start({prompt: `leaves ${role}`}).report;
			checkOutcome(report);
			assert.equal(report.isWhole, false);
		});
	}

	const createKeyWithOffset = (offMs: number) => createKey({msecs: Date.now() + offMs});
	const keys: ReadonlyArray<{name: string; toKey: () => string | undefined; kind: RegExp; outcome: string; hasRetryAfter: boolean}> = [
		{
			name: 'that is missing', toKey: () => undefined, kind: /key-required$/v, outcome: 'not-run', hasRetryAfter: false,
		},
		{
			name: 'that is no UUID', toKey: () => 'box-17', kind: /key-invalid$/v, outcome: 'not-run', hasRetryAfter: false,
		},
		{
			name: 'that bears no time', toKey: () => createRandomId(), kind: /key-invalid$/v, outcome: 'not-run', hasRetryAfter: false,
		},
		{
			name: 'of an hour ago', toKey: () => createKeyWithOffset(-hourMs), kind: /claim-unavailable$/v, outcome: 'may-have-run', hasRetryAfter: false,
		},
		{
			name: 'of the next hour', toKey: () => createKeyWithOffset(hourMs), kind: /claim-unavailable$/v, outcome: 'may-have-run', hasRetryAfter: true,
		},
	];
	for (const {name, toKey, kind, outcome, hasRetryAfter} of keys) {
		it(`is answered only if true for a request with a key ${name}`, async () => {
			const key = toKey();
			const report = await start({prompt: `a scene with a key ${name}`, isScene: true, ...(key !== undefined && {key})}).report;
			assert.equal(report.outcome, outcome, JSON.stringify(report));
			assert.match(report.problem ?? '', kind);
			assert.equal(report.begun, 0, 'work began although its key was refused');
			assert.equal(report.retryAfter !== undefined, hasRetryAfter, JSON.stringify(report));
			const atDesk = await startPlainCall(host.callerUrl, {path: '/desk/forwarding/17', ...(key !== undefined && {key})});
			assert.equal(atDesk.outcome, outcome);
			assert.match(atDesk.problem ?? '', kind);
		});
	}

	const deskFaults = [
		{name: 'drops the call before the work', faults: {drop: 'before'}},
		{name: 'drops the call after the work', faults: {drop: 'after'}},
		{name: 'breaks its answer off midway', faults: {drop: 'midway'}},
	] as const;
	for (const {name, faults} of deskFaults) {
		it(`is not answered to a change when the desk ${name}`, async () => {
			const [plain] = fleet.plains;
			plain!.setFaults({...faults, times: 1});
			const key = createKey();
			const result = await startPlainCall(host.callerUrl, {path: '/desk/forwarding/18', key});
			assert.notEqual(result.outcome, 'not-run', JSON.stringify(result));
			assert.ok(!result.isWhole);
			const again = await startPlainCall(host.callerUrl, {path: '/desk/forwarding/18', key});
			assert.ok(plain!.countWork(key) <= 1, JSON.stringify(again));
		});
	}

	it('is true when the host stops, and answered only to requests that still wait', async t => {
		const running = start({prompt: 'a long letter', maxTokens: 1000});
		const early = await Promise.race([running.report, waitUntil(() => running.received().length > 0, {deadlineMs, what: 'the first token'})]);
		assert.equal(early, true, JSON.stringify(early));
		const others = Array.from({length: 5}, (_, i) => start({prompt: `waits ${i}`, maxTokens: 1000}));
		await sleep(300);
		host.entry().signal('SIGTERM');
		const [first, ...rest] = await Promise.all([running, ...others].map(async call => call.report));
		const descriptions = rest.map(({outcome, problem, begun}) => `${outcome} ${problem} (${begun} begun)`);
		t.diagnostic(`the letter in progress: ${first!.outcome} ${first!.problem}; the others: ${descriptions.join(', ')}`);
		await host.entry().waitForExit(deadlineMs);
		await host.startEntry();
		await fleet.waitUntilReady();
		assert.ok(first!.outcome === 'ran' || first!.outcome === 'may-have-run', JSON.stringify({...first, text: ''}));
		for (const one of rest) {
			checkOutcome(one);
		}

		assert.ok(rest.some(({outcome}) => outcome === 'not-run'), 'no waiting request was refused with not-run');
	});

	it('is true when no configuration is there yet, and when no server answers at the desk', async () => {
		const [plain] = fleet.plains;
		await plain!.stop();
		const atDesk = await startPlainCall(host.callerUrl, {path: '/desk/forwarding/19', key: createKey()});
		assert.equal(atDesk.outcome, 'not-run', JSON.stringify(atDesk));
		assert.ok(atDesk.retryAfter !== undefined);
		await host.kill();
		fleet.platform.setFaults({down: true});
		await host.start();
		const report = await start({prompt: 'too early'}).report;
		checkNotRun(report, {kind: /no-configuration$/v});
		fleet.platform.setFaults({});
		await fleet.waitUntilReady();
	});
});
