/** Settings of `banyanport-relay`. */
import {defineSettings, type SettingFault, type SettingValues} from '../../adapters/settings/index.js';
import {type ZoneEntry} from '../../ports/config.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {checkCommonSettings, findPartialKeys} from './common.js';
import {entryCoreSettings} from './entry.js';

/** Round trips take a few milliseconds at most: a server that took no connection in this time is behind a cut, and its requests have targets of a second or less. */
const connectTimeoutMs = 400;

/** What is published is in force, and a server that leaves gets nothing new, within this time unless the platform grants more. */
const actWithinMs = 2 * msPerSecond;

const zoneListPattern = {
	test: /^[a-z\d][a-z\d.\-]*=[a-z\d][a-z\d.\-]*(?:,[a-z\d][a-z\d.\-]*=[a-z\d][a-z\d.\-]*)*$/v,
	hint: 'zones with their regions, such as zone-a=region-1,zone-b=region-1',
};

export const relaySettings = defineSettings({
	...entryCoreSettings,
	engineConnectTimeout: {...entryCoreSettings.engineConnectTimeout, default: connectTimeoutMs},
	zones: {
		type: 'text', required: true, pattern: zoneListPattern, group: 'Identity', description: 'All availability zones with their regions.',
	},
	callerAddress: {
		type: 'address', required: true, group: 'Addresses', description: 'Where callers come in.',
	},
	operatorAddress: {
		type: 'address', required: true, group: 'Addresses', description: 'Where operators and the balancer ask for readiness.',
	},
	metricsPort: {
		type: 'port', group: 'Addresses', description: 'A second port for operators, for collectors that know one port for all hosts.',
	},
	platformAddress: {
		type: 'address', required: true, group: 'Addresses', description: 'Where rules and backend servers are published.',
	},
	controlAddress: {
		type: 'address', group: 'Addresses', description: 'Address by which the settings of all hosts may name this host.',
	},
	peerAddress: {
		type: 'address', group: 'Addresses', description: 'Where other hosts tell what they have under way (UDP); the port is the same on all hosts. Without it this host neither tells nor hears.',
	},
	seeds: {
		type: 'addresses', default: [], group: 'Addresses', description: 'Control addresses of some hosts, by which all find each other; some may be away.',
	},
	ordersFrom: {
		type: 'address', group: 'Backend servers', description: 'Control address of the one host that gives orders to backend servers; the same on every host. Without it nobody gives any.',
	},
	prefillShare: {
		// Between what three deployments learnt, 0.25 to 0.30: roles that are right before the load comes need not change under it.
		type: 'number',
		default: 0.28,
		min: 0.01,
		max: 0.99,
		unit: 'of a pool\'s servers',
		group: 'Backend servers',
		description: 'Part of a pool that computes prompts, where servers can change between prefill and decode, until requests have told what they cost.',
	},
	retryRatio: {
		type: 'number', default: 0.1, min: 0, max: 10, unit: 'retries a request', group: 'Backend servers', description: 'Calls beyond the first that all hosts may make for each request to a pool.',
	},
	retrySlack: {
		type: 'number', default: 20, min: 0, max: 100_000, unit: 'retries', group: 'Backend servers', description: 'Calls beyond the first that all hosts together may make on top of the ratio.',
	},
	retryWindow: {
		type: 'duration',
		default: 10 * msPerSecond,
		min: 0,
		max: 10 * msPerMinute,
		group: 'Backend servers',
		description: 'Time over which the calls beyond the first are counted. A process that just started makes none of the slack for so long, as the one before it may have made them.',
	},
	serverIdle: {
		type: 'duration',
		default: 30 * msPerSecond,
		min: msPerSecond,
		max: 10 * msPerMinute,
		group: 'Backend servers',
		description: 'Time for which an idle connection to a backend server is kept, where the server names none.',
	},
	rulesWithin: {
		type: 'duration',
		default: actWithinMs,
		min: msPerSecond,
		max: msPerMinute,
		group: 'Operation',
		description: 'Time after the publication of rules in which they must be in force. The longer this and --leave-within are, the less often this host reads the platform.',
	},
	leaveWithin: {
		type: 'duration',
		default: actWithinMs,
		min: msPerSecond,
		max: msPerMinute,
		group: 'Operation',
		description: 'Time after a backend server has published that it leaves in which it still takes new requests.',
	},
	stopLimit: {
		type: 'duration', default: 30 * msPerSecond, min: msPerSecond, max: 60 * msPerMinute, group: 'Operation', description: 'Time after the signal at which a planned stop must have ended.',
	},
});

export type RelaySettings = SettingValues<typeof relaySettings>;

/**
 * Checks what only several settings together show.
 *
 * @param values - Parsed values.
 * @returns Faults; empty when all is well.
 */
export function checkRelaySettings(values: RelaySettings): SettingFault[] {
	const isKnown = toZones(values.zones).some(({id}) => id === values.zone);
	return [
		...checkCommonSettings(values),
		...findPartialKeys({'--tls-cert-file': values.tlsCertFile, '--tls-key-file': values.tlsKeyFile}),
		...(isKnown ? [] : [{place: '--zones', message: `does not name ${values.zone}, the zone of this host`, remedy: 'name every zone with its region'}]),
	];
}

/**
 * @param text - Value of the setting `zones`.
 * @returns The zones.
 */
export function toZones(text: string): ZoneEntry[] {
	return text.split(',').map(pair => {
		const [id, region] = pair.split('=') as [string, string];
		return {id, region};
	});
}
