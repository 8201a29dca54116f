import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {toProblem, type ProblemKind} from '../../../domain/to-problem/index.js';
import {type Account} from '../accounts/index.js';
import {type JoinEnd} from '../claims/index.js';
import {type EndedRequest} from './ended-request.js';
import {toKeyedOptions} from './to-keyed-options.js';
import {reportRefused} from './report-refused.js';
import {type Route} from './route.js';
import {type ServeContext} from './serve-types.js';

const target = {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000};
const route = {workspace: 'w', rule: {name: 'desk', then: {class: 'quick', target}}} as unknown as Route;

function createFixture() {
	const ended: EndedRequest[] = [];
	const logged: Array<{message: string; fields: Readonly<Record<string, unknown>>}> = [];
	const stages: string[] = [];
	let time = 1000;
	const ctx = {
		limits: {writeTimeoutMs: 1000},
		services: {clock: {now: () => time}},
		log: {
			info(message: string, fields: Readonly<Record<string, unknown>>) {
				logged.push({message, fields});
			},
		},
		onEnded(one: EndedRequest) {
			ended.push(one);
		},
	} as unknown as ServeContext;
	const account = {
		addStage(stage: string) {
			stages.push(stage);
		},
	} as unknown as Account;
	return {
		ctx, account, ended, logged, stages, setTime(next: number) {
			time = next;
		},
	};
}

describe('toKeyedOptions', () => {
	const rows: Array<[JoinEnd['kind'], EndedRequest['end']]> = [
		['complete', 'complete'], ['refused', 'refused'], ['broken', 'failed'], ['taken-over', 'caller-gone'], ['caller-gone', 'caller-gone'],
	];
	for (const [kind, end] of rows) {
		it(`logs and counts a joined run that ended as ${kind}, by the times of the call that joined`, () => {
			const {ctx, account, ended, logged, stages, setTime} = createFixture();
			const exchange = {requestId: 'r', headers: {}} as unknown as CallerExchange;
			const options = toKeyedOptions({exchange, account, route}, ctx, async () => 'complete');
			options.onJoin?.('dvorana-b-1');
			setTime(4000);
			options.onJoinEnded?.('dvorana-b-1', {kind, startedAt: 1500});
			assert.deepEqual(logged.map(({message, fields}) => [message, fields.requestId, fields.peer]), [['joined a run', 'r', 'dvorana-b-1'], ['request ended', 'r', 'dvorana-b-1']]);
			assert.deepEqual(stages, ['joined a run', 'ended']);
			assert.deepEqual(ended.map(one => [one.workspace, one.rule.name, one.end, one.firstTokenMs, one.completeMs]), [['w', 'desk', end, 500, 3000]]);
		});
	}

	it('counts a key that could not be claimed as lost availability of its rule', () => {
		const {ctx, account, ended} = createFixture();
		const exchange = {requestId: 'r', headers: {}} as unknown as CallerExchange;
		toKeyedOptions({exchange, account, route}, ctx, async () => 'complete').onRefused?.({kind: 'claim-unavailable', detail: '', outcome: 'may-have-run'});
		assert.deepEqual(ended.map(one => [one.workspace, one.rule.name, one.end]), [['w', 'desk', 'refused']]);
	});
});

describe('reportRefused', () => {
	it('counts refusals that this system causes, and none for a mistake of the caller', () => {
		const kinds: ProblemKind[] = [
			'bad-request',
			'bad-json',
			'key-required',
			'key-invalid',
			'unauthorized',
			'no-rule',
			'not-found',
			'unknown-model',
			'slow-request',
			'key-used',
			'body-too-large',
			'prompt-too-long',
			'wrong-media-type',
			'key-reused',
			'queue-full',
			'claim-unavailable',
			'no-capacity',
			'no-configuration',
			'stopping',
			'internal',
		];
		for (const kind of kinds) {
			const {ctx, account, ended, logged} = createFixture();
			const problem = {kind, detail: '', outcome: 'not-run'} as const;
			reportRefused(problem, {
				requestId: 'r', account, route: undefined, headers: {},
			}, ctx);
			const {status} = toProblem(problem, 'r');
			assert.equal(ended.length, status === 429 || status >= 500 ? 1 : 0, kind);
			assert.equal(logged.length, 1);
		}
	});

	it('counts a request without a rule under its class, and under names that callers cannot choose', () => {
		const {ctx, account, ended} = createFixture();
		reportRefused({kind: 'no-configuration', detail: '', outcome: 'not-run'}, {
			requestId: 'r', account, route: undefined, headers: {'x-service-class': 'batch', 'x-workspace': 'mine'},
		}, ctx);
		assert.deepEqual(ended.map(one => [one.workspace, one.rule.name, one.rule.then.class, one.end]), [['(not known)', '(before any rule)', 'batch', 'refused']]);
	});
});
