/** Settings of `banyanport-relay`. */
import {defineSettings, type SettingFault, type SettingValues} from '../../adapters/settings/index.js';
import {type ZoneEntry} from '../../ports/config.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {checkCommonSettings, findPartialKeys} from './common.js';
import {entryCoreSettings} from './entry.js';

/** Round trips take a few milliseconds at most, so a server that accepts no connection in this time is cut off by the network; its requests have latency targets of a second or less and can't wait longer. */
const connectTimeoutMs = 400;

/** Published rules take effect, and a leaving server gets no more new requests, within this time unless the platform allows more. */
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
		type: 'address', required: true, group: 'Addresses', description: 'Address at which callers connect.',
	},
	operatorAddress: {
		type: 'address', required: true, group: 'Addresses', description: 'Address at which operators and the load balancer ask for readiness.',
	},
	metricsPort: {
		type: 'port', group: 'Addresses', description: 'Additional port for operators, for metrics collectors that use one port number for all hosts.',
	},
	platformAddress: {
		type: 'address', required: true, group: 'Addresses', description: 'Address of the platform, which publishes rules and backend servers.',
	},
	controlAddress: {
		type: 'address', group: 'Addresses', description: 'Address under which the settings of any host may name this host.',
	},
	peerAddress: {
		type: 'address',
		group: 'Addresses',
		description: 'Address at which other hosts report their requests in flight (UDP) and pass on requests whose servers they do not reach (TCP); the port is the same on all hosts, and only hosts may reach it. Without it this host does neither.',
	},
	seeds: {
		type: 'addresses', default: [], group: 'Addresses', description: 'Control addresses of some hosts, through which all hosts find each other; some of them may be down.',
	},
	ordersFrom: {
		type: 'address', group: 'Backend servers', description: 'Control address of the one host that gives orders to backend servers; the same on every host. Without it no host gives orders.',
	},
	prefillShare: {
		// Three deployments learnt shares from 0.25 to 0.30. Roles that are right before the load arrives need not change under load.
		type: 'number',
		default: 0.28,
		min: 0.01,
		max: 0.99,
		unit: 'of a pool\'s servers',
		group: 'Backend servers',
		description: 'Share of a pool that is used for prefill, where servers can change between prefill and decode, until the cost of requests has been measured.',
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
		description: 'Time over which the calls beyond the first are counted. A process that has just started uses none of the slack for this long, as its predecessor may have used it up.',
	},
	serverIdle: {
		type: 'duration',
		default: 30 * msPerSecond,
		min: msPerSecond,
		max: 10 * msPerMinute,
		group: 'Backend servers',
		description: 'Time for which an idle connection to a backend server is kept, unless the server names a time of its own.',
	},
	rulesWithin: {
		type: 'duration',
		default: actWithinMs,
		min: msPerSecond,
		max: msPerMinute,
		group: 'Operation',
		description: 'Time within which published rules must be in force. The longer this and --leave-within are, the less often this host reads the platform.',
	},
	leaveWithin: {
		type: 'duration',
		default: actWithinMs,
		min: msPerSecond,
		max: msPerMinute,
		group: 'Operation',
		description: 'Time for which a backend server still takes new requests after it has published that it leaves.',
	},
	stopLimit: {
		type: 'duration', default: 30 * msPerSecond, min: msPerSecond, max: 60 * msPerMinute, group: 'Operation', description: 'Time after the signal within which a planned stop must end.',
	},
});

export type RelaySettings = SettingValues<typeof relaySettings>;

/**
 * Checks the relay's settings against each other.
 *
 * @param values - Parsed values.
 * @returns Faults; empty when the settings are consistent.
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
 * Parses the list of zones with their regions.
 *
 * @param text - Value of the setting `zones`.
 * @returns The zones.
 */
export function toZones(text: string): ZoneEntry[] {
	return text.split(',').map(pair => {
		const [id, region] = pair.split('=') as [string, string];
		return {id, region};
	});
}
