/** Serializes the configuration document of a test fleet as JSON, which is valid YAML. */
import {type HostEntry, type ServerEntry, type ZoneEntry} from '../../../../src/ports/config.js';

export type FleetShape = {
	zones: readonly ZoneEntry[];
	hosts: readonly HostEntry[];
	servers: readonly ServerEntry[];
	model: string;
	version: string;
	adapters: readonly string[];
};

/** Parts of the default document that a test replaces. */
export type ConfigParts = {
	hosts?: readonly HostEntry[];
	routes?: Readonly<Record<string, unknown>>;
	rules?: readonly unknown[];
	pools?: readonly unknown[];
	callerTokens?: Readonly<Record<string, string>>;
	weightStoreBytesPerSecond?: string;
};

/** Routes of the default document, for tests that change some of them. */
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

/** Matches desk calls by path, scenes (which may run only once) by header, and questions by class; other requests to the model are letters, and the rest are desk calls. */
const toRules = (model: string) => [
	{name: 'desk changes', when: {path: '/desk/forwarding/'}, then: 'desk-change'},
	{name: 'desk lookups', when: {path: '/desk/'}, then: 'desk'},
	{name: 'scenes', when: {model, headers: {'x-scene': '*'}}, then: 'scene'},
	{name: 'questions', when: {model, class: 'quick'}, then: 'question'},
	{name: 'letters', when: {model}, then: 'letter'},
	{name: 'everything else', then: 'desk'},
];

/** Returns the pools of the default document. */
export function toPools({model, version, adapters}: FleetShape): readonly unknown[] {
	return [
		{
			name: 'summaries', model, version, adapters, classes: ['quick', 'batch'],
		},
		{name: 'desk', kind: 'plain', classes: ['quick', 'batch']},
	];
}

/** Serializes the document of a fleet. */
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
