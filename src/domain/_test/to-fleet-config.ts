/** Configurations of a given size for tests and benches. */
import {
	type Config, type Rule, type RuleThen, type RuleWhen,
} from '../../ports/config.js';

const quick: RuleThen = {
	pool: 'summaries', class: 'quick', repeatable: true, target: {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000}, queueLimit: 64, versions: [], adapter: undefined,
};
const batch: RuleThen = {
	...quick, class: 'batch', target: {firstTokenMs: 60_000, perTokenMs: 250, completeMs: 600_000}, queueLimit: 1000,
};

/** Conditions of several kinds: nine in ten name a workspace, the others a path, or a header and a model. */
function toWhen(i: number, workspaces: number): RuleWhen {
	switch (i % 20) {
		case 0: {
			return {path: `/service-${i}/`};
		}

		case 10: {
			return {headers: {'x-campaign': `c${i}`}, model: ['m']};
		}

		default: {
			const workspace = [`ws-${String(i % workspaces).padStart(5, '0')}`];
			return i % 3 === 0 && i < workspaces ? {workspace, class: 'quick'} : {workspace, promptTokensBelow: 1000 + i};
		}
	}
}

/**
 * Creates a small fleet with many rules.
 *
 * @param rules - Number of rules, including the catch-all.
 * @param workspaces - Number of workspaces that the rules name.
 * @returns A valid configuration.
 */
export function toFleetConfig(rules: number, workspaces: number): Config {
	const named = Array.from({length: rules - 1}, (_, i): Rule => toRule(`r${i}`, toWhen(i, workspaces), i % 3 === 0 ? quick : batch));
	return {
		zones: [{id: 'a', region: 'r'}],
		hosts: [{id: 'a-1', zone: 'a'}],
		servers: [
			{
				id: 'p', zone: 'a', url: 'http://10.0.0.1:80', role: 'prefill', pool: 'summaries', slots: 4, checksFence: false,
			},
			{
				id: 'd', zone: 'a', url: 'http://10.0.0.2:80', role: 'decode', pool: 'summaries', slots: 20, checksFence: true,
			},
		],
		pools: [{
			name: 'summaries', kind: 'model', model: 'm', version: '1', adapters: [], classes: ['quick', 'batch'],
		}],
		rules: [...named, toRule('everything else', {}, batch)],
		callerTokens: {},
		weightStoreBytesPerSecond: 500_000_000,
	};
}

function toRule(name: string, when: RuleWhen, then: RuleThen): Rule {
	return {name, when, then};
}
