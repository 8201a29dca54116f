import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toDigest} from '../../../_lib/to-digest/index.js';
import {type Config, type Rule, type WorkspaceTerms} from '../../../ports/config.js';
import {type FleetView} from '../../../ports/view.js';
import {createRouter, type RouteInput} from './route.js';

const toRule = (name: string, path: string, isPublic: boolean): Rule => ({
	name,
	when: {path},
	then: {
		pool: 'desk', class: 'batch', repeatable: true, isPublic, target: {firstTokenMs: 1, perTokenMs: 1, completeMs: 1}, queueLimit: 1, versions: [], adapter: undefined,
	},
});

function toView(workspaces: Record<string, WorkspaceTerms>): FleetView {
	const config: Config = {
		zones: [], hosts: [], servers: [], weightStoreBytesPerSecond: 0, callerTokens: {[toDigest('k')]: 'a'}, workspaces,
		pools: [{
			name: 'desk', kind: 'plain', model: undefined, version: undefined, adapters: [], classes: ['quick', 'batch'],
		}],
		rules: [toRule('public', '/public/', true), toRule('keyed', '/keyed/', false)],
	};
	return {
		accepted: {version: {edition: 1, revision: 1, digest: ''}, config, text: ''}, hosts: new Map(), servers: new Map(), platformConfirmedAt: 0, receivedAt: 0,
	};
}

const toInput = (path: string, authorization?: string): RouteInput => ({
	headers: authorization === undefined ? {} : {authorization}, path, model: undefined, promptTokens: 0, random: () => 0,
});

describe('createRouter', () => {
	const view = toView({a: {}});
	const route = createRouter('z');

	it('finds the workspace by its key', () => {
		const {workspace, isAuthenticated, rule} = route(toInput('/keyed/1', 'Bearer k'), view)._unsafeUnwrap();
		assert.deepEqual([workspace, isAuthenticated, rule.name], ['a', true, 'keyed']);
	});

	for (const authorization of [undefined, 'Bearer other']) {
		it(`serves a public rule ${authorization === undefined ? 'without a key' : 'with an unknown key'}, for no workspace`, () => {
			const {workspace, isAuthenticated} = route(toInput('/public/1', authorization), view)._unsafeUnwrap();
			assert.deepEqual([workspace, isAuthenticated], ['anonymous', false]);
		});

		it(`refuses ${authorization === undefined ? 'a missing' : 'an unknown'} key on other rules`, () => {
			assert.equal(route(toInput('/keyed/1', authorization), view)._unsafeUnwrapErr().kind, 'unauthorized');
		});
	}

	it('gives the class of the workspace precedence over the class of the rule', () => {
		const quick = route(toInput('/keyed/1', 'Bearer k'), toView({a: {class: 'quick'}}))._unsafeUnwrap();
		assert.equal(quick.rule.then.class, 'quick');
		assert.equal(route(toInput('/keyed/1', 'Bearer k'), view)._unsafeUnwrap().rule.then.class, 'batch');
	});

	// Guards against a final denial of what a newer configuration allows, by a host that has not read it.
	describe('on a host that may lack a newer configuration', () => {
		const routeBehind = createRouter('z', {isBehind: () => true});
		const cases: ReadonlyArray<[string, RouteInput, string]> = [
			['answers an unknown key as not run', toInput('/keyed/1', 'Bearer other'), 'no-configuration'],
			['answers an unknown path as not run', toInput('/other/1', 'Bearer k'), 'no-configuration'],
			['answers a missing key on an unknown path as not run, as a newer rule may be public', toInput('/other/1'), 'no-configuration'],
			['denies a missing key on a known path that needs one', toInput('/keyed/1'), 'unauthorized'],
		];
		for (const [name, input, kind] of cases) {
			it(name, () => {
				const problem = routeBehind(input, view)._unsafeUnwrapErr();
				assert.deepEqual([problem.kind, problem.outcome], [kind, 'not-run']);
			});
		}
	});
});
