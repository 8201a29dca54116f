/** Creates the configuration of the demo for servers that listen on free ports. */
import {stringify} from 'yaml';

export type DemoServer = {
	id: string;
	zone: string;
	role: 'prefill' | 'decode' | 'plain';
	pool: string;
	url: string;
};

export type DemoConfigOptions = {
	zones: readonly string[];
	servers: readonly DemoServer[];
	model: string;
	version: string;
};

const quickTarget = {firstToken: '1.3s', perToken: '61ms', complete: '10s'};
const batchTarget = {firstToken: '30s', perToken: '250ms', complete: '5m'};

/**
 * Turns servers into a configuration document.
 *
 * @param options - Zones, servers, and the model and version that the engines serve.
 * @returns YAML that `banyanport check` accepts.
 */
export function toDemoConfig({zones, servers, model, version}: DemoConfigOptions): string {
	return stringify({
		zones: zones.map(id => ({id, region: 'si-central'})),
		hosts: zones.map(zone => ({id: `${zone}-1`, zone})),
		pools: [
			{
				name: 'summaries', model, version, classes: ['quick', 'batch'],
			},
			{name: 'front-desk', kind: 'plain', classes: 'quick'},
		],
		servers,
		rules: [
			{
				name: 'desk lookups',
				when: {path: '/desk/'},
				then: {
					pool: 'front-desk', class: 'quick', repeatable: true, target: {firstToken: '300ms', complete: '2s'},
				},
			},
			{
				name: 'questions at the counter',
				when: {model, class: 'quick', promptTokensBelow: 2000},
				then: {
					pool: 'summaries', class: 'quick', repeatable: true, target: quickTarget,
				},
			},
			{
				name: 'letters',
				when: {model},
				then: {
					pool: 'summaries', class: 'batch', repeatable: true, target: batchTarget,
				},
			},
			{
				name: 'everything else',
				then: {
					pool: 'front-desk', class: 'quick', repeatable: true, target: {firstToken: '300ms', complete: '2s'},
				},
			},
		],
		end: 'banyanport',
	});
}
