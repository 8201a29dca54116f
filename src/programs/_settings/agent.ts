/** Settings of `banyanport-agent`. */
import {defineSettings, type SettingFault, type SettingValues} from '../../adapters/settings/index.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {checkCommonSettings, commonSettings} from './common.js';
import {findSharedPorts} from './entry.js';

export const agentSettings = defineSettings({
	...commonSettings,
	peerPort: {
		type: 'port', default: 7401, group: 'Addresses', description: 'Port for agents of other hosts and for this host\'s entry.',
	},
	operatorPort: {
		type: 'port', default: 7403, group: 'Addresses', description: 'Port for operators.',
	},
	platformUrl: {
		type: 'url', required: true, group: 'Addresses', description: 'Base URL of the platform\'s configuration service.',
	},
	seeds: {
		type: 'addresses', default: [], group: 'Addresses', description: 'Peer ports of agents of other hosts, to learn of the fleet before the platform is asked.',
	},
	entryAddress: {
		type: 'address', group: 'Addresses', description: 'Peer port of this host\'s entry, which peers are told.',
	},
	pollInterval: {
		type: 'duration', default: 500, min: 50, max: msPerMinute, group: 'Timing', description: 'Time between two load reports of one backend server.',
	},
	heartbeatInterval: {
		type: 'duration', default: msPerSecond, min: 100, max: msPerMinute, group: 'Timing', description: 'Time between two heartbeats; the same on all hosts.',
	},
});

export type AgentSettings = SettingValues<typeof agentSettings>;

/**
 * Checks what only several settings of the agent together show.
 *
 * @param values - Parsed values.
 * @returns Faults; empty when all is well.
 */
export function checkAgentSettings(values: AgentSettings): SettingFault[] {
	return [
		...checkCommonSettings(values),
		...findSharedPorts({'--peer-port': values.peerPort, '--operator-port': values.operatorPort}),
	];
}
