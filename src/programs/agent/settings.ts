/** Settings of the agent. */
import {defineSettings, type SettingValues} from '../../adapters/settings/index.js';
import {msPerSecond} from '../../ports/units.js';

export const agentSettings = defineSettings({
	hostId: {
		type: 'text', group: 'Identity', required: true, description: 'Published name of this host\'s slot.',
	},
	zone: {
		type: 'text', group: 'Identity', required: true, description: 'Availability zone of this host.',
	},
	bind: {
		type: 'ip', group: 'Addresses', default: '127.0.0.1', description: 'IP number to listen on, and to be reached at by peers.',
	},
	peerPort: {
		type: 'port', group: 'Addresses', default: 0, description: 'Port for agents of other hosts and this host\'s entry.',
	},
	operatorPort: {
		type: 'port', group: 'Addresses', default: 0, description: 'Port for health, readiness, metrics and status.',
	},
	platformUrl: {
		type: 'url', group: 'Addresses', required: true, description: 'The platform\'s configuration service.',
	},
	seeds: {
		type: 'addresses', group: 'Addresses', default: [], description: 'Peer ports of agents of other hosts, to learn of the fleet before the platform is asked.',
	},
	entryAddress: {
		type: 'address', group: 'Addresses', description: 'Peer port of this host\'s entry, until the entry itself tells.',
	},
	pollInterval: {
		type: 'duration', group: 'Timing', default: 500, min: 50, max: 60 * msPerSecond, description: 'Time between two load reports of one server.',
	},
	heartbeatInterval: {
		type: 'duration', group: 'Timing', default: msPerSecond, min: 100, max: 60 * msPerSecond, description: 'Time between two heartbeats; the same on all hosts.',
	},
	logLevel: {
		type: 'choice', group: 'Logs', choices: ['error', 'warn', 'info', 'debug'], default: 'info', description: 'Least level that is logged.',
	},
});

export type AgentSettings = SettingValues<typeof agentSettings>;
