import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type WorkspaceLimit} from '../../../ports/config.js';
import {type QuotaSpend, type QuotaVerdict} from '../../../ports/quotas.js';
import {type Account} from '../accounts/index.js';
import {type KeyedVerdict} from '../claims/index.js';
import {serveCharged} from './index.js';

const limit: WorkspaceLimit = {
	unit: 'tokens', perSecond: 1000, burst: 2000, unstatedTokens: 200,
};
const hints = {promptTokens: 900, maxTokens: 100};

async function serve({verdict = {isGranted: true, waitMs: 0}, ran = 'complete', ...over}: {verdict?: QuotaVerdict; ran?: KeyedVerdict; limit?: WorkspaceLimit | undefined; hints?: typeof hints}) {
	const taken: QuotaSpend[] = [];
	const given: QuotaSpend[] = [];
	const problems: Problem[] = [];
	const counted: string[] = [];
	let runs = 0;
	const result = await serveCharged(async () => {
		runs++;
		return ran;
	}, {
		route: {workspace: 'w', edition: 3, limit: 'limit' in over ? over.limit : limit},
		hints: over.hints ?? hints,
		account: {addStage: () => undefined} as unknown as Account,
		random: () => 0.5,
		countOverLimit(workspace) {
			counted.push(workspace);
		},
		quotas: {
			async take(spend) {
				taken.push(spend);
				return verdict;
			},
			giveBack(spend) {
				given.push(spend);
			},
		},
		refuse(problem) {
			problems.push(problem);
		},
	});
	return {
		taken, given, problems, counted, runs, result,
	};
}

describe('serveCharged', () => {
	it('charges the tokens of a request once, before it runs', async () => {
		const {taken, given, runs, result} = await serve({});
		assert.deepEqual(taken, [{
			workspace: 'w', cost: 1000, edition: 3, rate: {perSecond: 1000, burst: 2000},
		}]);
		assert.deepEqual([given, runs, result], [[], 1, 'complete']);
	});

	it('gives the charge back if the request was not run', async () => {
		const {taken, given} = await serve({ran: 'not-run'});
		assert.deepEqual(given, taken);
	});

	it('refuses as not run, with the time when there is room, and runs nothing', async () => {
		const {problems, counted, runs, result} = await serve({verdict: {isGranted: false, waitMs: 4000}});
		assert.deepEqual([runs, result, counted], [0, 'not-run', ['w']]);
		assert.deepEqual(problems.map(({kind, outcome, retryAfterMs}) => [kind, outcome, retryAfterMs]), [['over-limit', 'not-run', 5000]]);
	});

	it('refuses a request that is too large for the limit without a time to come back', async () => {
		const {problems, taken} = await serve({hints: {promptTokens: 3000, maxTokens: 1}});
		assert.deepEqual(taken, []);
		assert.deepEqual(problems.map(({kind, outcome, retryAfterMs}) => [kind, outcome, retryAfterMs]), [['over-limit', 'not-run', undefined]]);
		assert.match(problems[0]!.detail, /counts as 3001 tokens/v);
	});

	it('asks for the largest request that the limit allows', async () => {
		const {taken} = await serve({hints: {promptTokens: 2999, maxTokens: 1}});
		assert.deepEqual(taken.map(({cost}) => cost), [3000]);
	});

	it('gives nothing back where there is no limit', async () => {
		const {given, result} = await serve({limit: undefined, ran: 'not-run'});
		assert.deepEqual([given, result], [[], 'not-run']);
	});

	it('asks nobody where there is no limit', async () => {
		const {taken, runs} = await serve({limit: undefined});
		assert.deepEqual([taken.length, runs], [0, 1]);
	});
});
