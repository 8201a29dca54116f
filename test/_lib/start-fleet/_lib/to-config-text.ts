/** Writes the configuration document of a test fleet. JSON is YAML, so it is written as JSON. */
import {type HostEntry, type ServerEntry, type ZoneEntry} from '../../../../src/ports/config.js';

export type FleetShape = {
	zones: readonly ZoneEntry[];
	hosts: readonly HostEntry[];
	servers: readonly ServerEntry[];
	model: string;
	version: string;
	adapters: readonly string[];
};

/** Parts of the document that a test gives itself. */
export type ConfigParts = {
	hosts?: readonly HostEntry[];
	routes?: Readonly<Record<string, unknown>>;
	rules?: readonly unknown[];
	pools?: readonly unknown[];
	callerTokens?: Readonly<Record<string, string>>;
	weightStoreBytesPerSecond?: string;
};

/** Routes of the usual document, for tests that change some of them. */
export const usualRoutes = {
	desk: {
		pool: 'desk', class: 'quick', repeatable: true, target: {firstToken: '2s', complete: '10s'},
	},
	'desk-change': {
		pool: 'desk', class: 'quick', repeatable: false, target: {firstToken: '2s', complete: '10s'},
	},
	question: {
		pool: 'summaries', class: 'quick', repeatable: true, target: {firstToken: '3s', perToken: '250ms', complete: '30s'},
	},
	scene: {
		pool: 'summaries', class: 'batch', repeatable: false, target: {firstToken: '30s', perToken: '250ms', complete: '60s'},
	},
	letter: {
		pool: 'summaries', class: 'batch', repeatable: true, target: {firstToken: '30s', perToken: '250ms', complete: '60s'},
	},
};

/** Desk calls by path; scenes by header, as they may run once only; quick questions by class; all else is a letter. */
const toRules = (model: string) => [
	{name: 'desk changes', when: {path: '/desk/forwarding/'}, then: 'desk-change'},
	{name: 'desk lookups', when: {path: '/desk/'}, then: 'desk'},
	{name: 'scenes', when: {model, headers: {'x-scene': '*'}}, then: 'scene'},
	{name: 'questions', when: {model, class: 'quick'}, then: 'question'},
	{name: 'letters', when: {model}, then: 'letter'},
	{name: 'everything else', then: 'desk'},
];

/** The pools of the usual document. */
export function toPools({model, version, adapters}: FleetShape): readonly unknown[] {
	return [
		{
			name: 'summaries', model, version, adapters, classes: ['quick', 'batch'],
		},
		{name: 'desk', kind: 'plain', classes: ['quick', 'batch']},
	];
}

/** Writes the document of a fleet. */
export function toConfigText(shape: FleetShape, parts: ConfigParts = {}): string {
	const document = {
		zones: shape.zones,
		hosts: shape.hosts,
		pools: toPools(shape),
		servers: shape.servers,
		routes: usualRoutes,
		rules: toRules(shape.model),
		weightStoreBytesPerSecond: '500MB',
		...parts,
		end: 'banyanport',
	};
	return JSON.stringify(document, undefined, '\t') + '\n';
}
