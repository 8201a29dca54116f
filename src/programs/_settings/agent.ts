/** Settings of `banyanport-agent`. */
import {defineSettings, type SettingFault, type SettingValues} from '../../adapters/settings/index.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {checkCommonSettings, commonSettings} from './common.js';
import {findSharedPorts} from './entry.js';

/** Each answer of the platform confirms the configuration in force, and orders to servers need a confirmation from the last ten seconds. */
const maxPlatformWaitMs = 6 * msPerSecond;

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
		type: 'addresses',
		default: [],
		group: 'Addresses',
		description: 'Peer ports of agents of other hosts; without them a restarted host cannot ask its peers first and depends on a platform that may be stale.',
	},
	platformWait: {
		type: 'duration',
		default: maxPlatformWaitMs,
		min: 100,
		max: maxPlatformWaitMs,
		group: 'Platform',
		description: 'Longest time for which one long-polling read of the platform waits for a change.',
	},
	loadPollInterval: {
		type: 'duration', default: msPerSecond, min: 50, max: msPerMinute, group: 'Backend servers', description: 'Interval at which each backend server is asked for its load.',
	},
	heartbeatInterval: {
		type: 'duration', default: msPerSecond, min: 50, max: msPerMinute, group: 'Membership', description: 'Interval between heartbeats to each peer.',
	},
	suspectAfter: {
		type: 'duration', default: 3 * msPerSecond, min: 100, max: 10 * msPerMinute, group: 'Membership', description: 'Silence after which a peer is suspected.',
	},
	deadAfter: {
		type: 'duration', default: 8 * msPerSecond, min: 200, max: 60 * msPerMinute, group: 'Membership', description: 'Silence after which a peer is declared dead and its engine memory released.',
	},
});

export type AgentSettings = SettingValues<typeof agentSettings>;

/**
 * Checks the agent's settings against each other.
 *
 * @param values - Parsed values.
 * @returns Faults; empty when the settings are consistent.
 */
export function checkAgentSettings(values: AgentSettings): SettingFault[] {
	return [
		...checkCommonSettings(values),
		...findSharedPorts({'--peer-port': values.peerPort, '--operator-port': values.operatorPort}),
		...findWrongOrder('--suspect-after', values.suspectAfter, '--heartbeat-interval', values.heartbeatInterval),
		...findWrongOrder('--dead-after', values.deadAfter, '--suspect-after', values.suspectAfter),
	];
}

function findWrongOrder(flag: string, value: number, lowerFlag: string, lower: number): SettingFault[] {
	return value > lower ? [] : [{place: flag, message: `is ${value}ms, not more than ${lowerFlag} (${lower}ms)`, remedy: 'make it longer, preferably three times as long'}];
}
