import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {request} from 'undici';
import {createLog} from '../../adapters/log/index.js';
import {createMetrics} from '../../adapters/metrics/index.js';
import {createSloLedger} from '../../domain/create-slo-ledger/index.js';
import {type Rule} from '../../ports/config.js';
import {type ReadinessReason} from '../../adapters/operator-http/index.js';
import {
	loadProgramKeys, reportSlo, startOperations, toSloSample,
} from './index.js';

const sink = {write: () => true, writableLength: 0, on: () => undefined};
const log = createLog({
	level: 'error', program: 'p', host: 'a-1', zone: 'a', incarnation: 1, sink,
});
const rule: Rule = {
	name: 'desk',
	when: {},
	then: {
		pool: 'p', class: 'quick', repeatable: true, target: {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000}, queueLimit: 10, versions: [], adapter: undefined,
	},
};

describe('startOperations', () => {
	it('serves readiness, burn rates and metrics that agree with each other', async context => {
		const metrics = createMetrics();
		const ledger = createSloLedger({host: 'a-1'});
		const clock = {now: () => 1000, wallNow: () => 0};
		const burn = reportSlo(ledger, clock, metrics);
		let notReady: readonly ReadinessReason[] = [{reason: 'no configuration is in force'}];
		const started = await startOperations({
			settings: {bind: '127.0.0.1', operatorPort: 0}, log, metrics, notReadyReasons: () => notReady, status: () => ({}), ...burn,
		});
		const server = started._unsafeUnwrap();
		context.after(async () => server.close(1000));
		const fetchDocument = async (path: string) => {
			const {statusCode, body} = await request(`http://127.0.0.1:${server.port}${path}`, {headersTimeout: 10_000, bodyTimeout: 10_000});
			return {status: statusCode, text: await body.text()};
		};

		const before = await fetchDocument('/ready');
		assert.deepEqual([before.status, before.text], [503, '{"ready":false,"reasons":[{"reason":"no configuration is in force"}]}\n']);
		notReady = [];
		for (let i = 0; i < 30; i++) {
			ledger.addSample(toSloSample({
				workspace: 'w', rule, end: 'failed', firstTokenMs: undefined, completeMs: 10, outputTokens: 0,
			}), clock.now());
		}

		const {text} = await fetchDocument('/metrics');
		assert.match(text, /^banyanport_ready 1$/m);
		assert.match(text, /^banyanport_slo_burn_rate{class="quick",window="5m"} (?:20|19\.9{6,}\d*)$/m);
		assert.match(text, /^banyanport_slo_alerts{level="page"} 3$/m);
		const page = await request(`http://127.0.0.1:${server.port}/slo`, {headers: {accept: 'text/html'}, headersTimeout: 10_000, bodyTimeout: 10_000});
		assert.match(await page.body.text(), /Act now/);
	});

	it('stays ready and lists warnings among its reasons', async context => {
		const started = await startOperations({
			settings: {bind: '127.0.0.1', operatorPort: 0},
			log,
			metrics: createMetrics(),
			notReadyReasons: () => [],
			warnings: () => [{reason: 'two of one name', remedy: 'stop one'}],
			status: () => ({}),
		});
		const server = started._unsafeUnwrap();
		context.after(async () => server.close(1000));
		const {statusCode, body} = await request(`http://127.0.0.1:${server.port}/ready`, {headersTimeout: 10_000, bodyTimeout: 10_000});
		assert.equal(statusCode, 200);
		assert.deepEqual(await body.json(), {ready: true, reasons: [{reason: 'two of one name', remedy: 'stop one'}]});
	});
});

describe('loadProgramKeys', () => {
	it('loads no keys when no files are set, and names a file that cannot be used', async () => {
		const none = await loadProgramKeys({keyPollInterval: 1000}, {log, metrics: createMetrics()});
		assert.deepEqual([none._unsafeUnwrap().peer, none._unsafeUnwrap().toReasons()], [undefined, []]);
		const wrong = await loadProgramKeys({keyPollInterval: 1000, tlsCertFile: 'no-such-cert.pem', tlsKeyFile: 'no-such-key.pem'}, {log, metrics: createMetrics()});
		assert.match(wrong._unsafeUnwrapErr(), /^no-such-cert\.pem cannot be read \(ENOENT\): check path/);
	});
});

describe('toSloSample', () => {
	for (const [firstTokenMs, completeMs, outputTokens, expected] of [
		[100, 1100, 11, 100],
		[100, 1100, 1, undefined],
		[undefined, 1100, 0, undefined],
	] as const) {
		it(`computes ${expected ?? 'no'} ms per token for ${outputTokens} tokens`, () => {
			assert.equal(toSloSample({
				workspace: 'w', rule, end: 'complete', firstTokenMs, completeMs, outputTokens,
			}).perTokenMs, expected);
		});
	}
});
