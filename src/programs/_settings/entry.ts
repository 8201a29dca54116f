/** Settings of `banyanport-entry`. */
import {defineSettings, type SettingFault, type SettingValues} from '../../adapters/settings/index.js';
import {
	bytesPerKibibyte, bytesPerMebibyte, msPerMinute, msPerSecond,
} from '../../ports/units.js';
import {defaultClockBoundMs} from '../../domain/create-claim-witness/index.js';
import {checkCommonSettings, commonSettings, findPartialKeys} from './common.js';

/** Settings that entry and relay share. */
export const entryCoreSettings = defineSettings({
	...commonSettings,
	tlsCertFile: {
		type: 'file', group: 'Keys', description: 'Certificate chain shown to callers, PEM; with its key it turns TLS on.',
	},
	tlsKeyFile: {
		type: 'file', group: 'Keys', description: 'Private key for --tls-cert-file, PEM.',
	},
	maxConnections: {
		type: 'integer',
		default: 10_000,
		min: 1,
		max: 1_000_000,
		unit: 'connections',
		group: 'Limits',
		description: 'Callers\' connections open at the same time; further ones are closed immediately.',
	},
	maxHeaderBytes: {
		type: 'bytes', default: 16 * bytesPerKibibyte, min: bytesPerKibibyte, max: bytesPerMebibyte, group: 'Limits', description: 'Size of all headers of a request.',
	},
	maxBodyBytes: {
		type: 'bytes', default: 8 * bytesPerMebibyte, min: bytesPerKibibyte, max: 1024 * bytesPerMebibyte, group: 'Limits', description: 'Size of a request\'s body.',
	},
	maxPromptTokens: {
		type: 'integer', default: 100_000, min: 1, max: 10_000_000, unit: 'tokens', group: 'Limits', description: 'Tokens of a prompt, by estimate.',
	},
	maxOutputTokens: {
		type: 'integer', default: 16_384, min: 1, max: 1_000_000, unit: 'tokens', group: 'Limits', description: 'Tokens that a caller may ask for in one answer.',
	},
	headerTimeout: {
		type: 'duration', default: 10 * msPerSecond, min: 100, max: 10 * msPerMinute, group: 'Limits', description: 'Time for a caller to send all headers.',
	},
	bodyTimeout: {
		type: 'duration', default: 30 * msPerSecond, min: 100, max: 60 * msPerMinute, group: 'Limits', description: 'Time for a caller to send the whole body.',
	},
	keepAliveTimeout: {
		type: 'duration', default: 65 * msPerSecond, min: 0, max: 60 * msPerMinute, group: 'Limits', description: 'Time for which an idle connection of a caller stays open.',
	},
	writeTimeout: {
		type: 'duration', default: 60 * msPerSecond, min: 100, max: 60 * msPerMinute, group: 'Limits', description: 'Time after which a caller that reads none of its answer counts as gone.',
	},
	maxQueued: {
		type: 'integer',
		default: 2000,
		min: 1,
		max: 1_000_000,
		unit: 'requests',
		group: 'Limits',
		description: 'Requests that wait at the same time, over all rules; each rule also has its own limit.',
	},
	maxInFlight: {
		type: 'integer', default: 4000, min: 1, max: 1_000_000, unit: 'requests', group: 'Limits', description: 'Requests in flight at the same time.',
	},
	engineConnectTimeout: {
		type: 'duration', default: msPerSecond, min: 10, max: msPerMinute, group: 'Backend servers', description: 'Time to connect to a backend server.',
	},
	reservationTtl: {
		type: 'duration', default: 5 * msPerSecond, min: 100, max: msPerMinute, group: 'Backend servers', description: 'Time after which an unused reservation of decode memory expires.',
	},
});

export const entrySettings = defineSettings({
	...entryCoreSettings,
	callerPort: {
		type: 'port', default: 7400, group: 'Addresses', description: 'Port for callers.',
	},
	peerPort: {
		type: 'port', default: 7402, group: 'Addresses', description: 'Port for entries of other hosts.',
	},
	operatorPort: {
		type: 'port', default: 7404, group: 'Addresses', description: 'Port for operators.',
	},
	agentAddress: {
		type: 'address', required: true, group: 'Addresses', description: 'Peer port of this host\'s agent.',
	},
	keptAnswerBytes: {
		type: 'bytes',
		default: 64 * bytesPerMebibyte,
		min: 0,
		max: 16 * 1024 * bytesPerMebibyte,
		group: 'Limits',
		description: 'Memory for complete answers that are kept for repeated calls with the same key.',
	},
	keptAnswerAge: {
		type: 'duration',
		default: 10 * msPerMinute,
		min: 0,
		max: 24 * 60 * msPerMinute,
		group: 'Limits',
		description: 'Age up to which a complete answer is kept for repeated calls with the same key.',
	},
	retryBudget: {
		type: 'integer', default: 10, min: 0, max: 100_000, unit: 'retries', group: 'Backend servers', description: 'Retries in the full budget of each pool; successes and time refill it.',
	},
	clockBound: {
		type: 'duration',
		default: defaultClockBoundMs,
		min: 0,
		max: 60 * msPerMinute,
		group: 'Idempotency keys',
		description: 'Largest difference between a caller\'s clock and a host\'s. A host that was not started gracefully vouches for no key made before its start plus this time.',
	},
	drainDelay: {
		type: 'duration',
		default: 2 * msPerSecond,
		min: 0,
		max: 10 * msPerMinute,
		group: 'Operation',
		description: 'Time for which a planned stop still accepts connections, so that the load balancer notices it first.',
	},
	drainTimeout: {
		type: 'duration',
		default: 15 * msPerMinute,
		min: 0,
		max: 24 * 60 * msPerMinute,
		group: 'Operation',
		description: 'Time for which a planned stop waits for requests in progress; requests left after it are named in the log and aborted.',
	},
});

export type EntrySettings = SettingValues<typeof entrySettings>;

/**
 * Checks the entry's settings against each other.
 *
 * @param values - Parsed values.
 * @returns Faults; empty when the settings are consistent.
 */
export function checkEntrySettings(values: EntrySettings): SettingFault[] {
	return [
		...checkCommonSettings(values),
		...findPartialKeys({'--tls-cert-file': values.tlsCertFile, '--tls-key-file': values.tlsKeyFile}),
		...findSharedPorts({'--caller-port': values.callerPort, '--peer-port': values.peerPort, '--operator-port': values.operatorPort}),
	];
}

/**
 * Finds ports that more than one flag uses.
 *
 * @param ports - Port by flag; 0 stands for any free port and may repeat.
 * @returns One fault for each flag whose port an earlier flag uses.
 */
export function findSharedPorts(ports: Readonly<Record<string, number>>): SettingFault[] {
	const taken = new Map<number, string>();
	const faults: SettingFault[] = [];
	for (const [flag, port] of Object.entries(ports)) {
		const other = taken.get(port);
		if (port !== 0 && other !== undefined) {
			faults.push({place: flag, message: `is ${port}, which ${other} already uses`, remedy: 'give each port its own number, or 0 for any free one'});
		}

		taken.set(port, flag);
	}

	return faults;
}
