/** Settings that all programs share. */
import {defineSettings, type SettingFault} from '../../adapters/settings/index.js';
import {msPerSecond} from '../../ports/units.js';

const namePattern = {test: /^[a-z\d][a-z\d.-]{0,62}$/, hint: 'a name of lower-case letters, digits, dots and hyphens, such as zone-a-1'};

export const logLevels = ['error', 'warn', 'info', 'debug'] as const;

export const commonSettings = defineSettings({
	hostId: {
		type: 'text', required: true, pattern: namePattern, group: 'Identity', description: 'Published name of this host\'s slot.',
	},
	zone: {
		type: 'text', required: true, pattern: namePattern, group: 'Identity', description: 'Availability zone of this host.',
	},
	bind: {
		type: 'ip', default: '127.0.0.1', group: 'Addresses', description: 'IP address on which all ports listen, and which is advertised to peers.',
	},
	operatorBind: {
		type: 'ip', group: 'Addresses', description: 'IP address on which the operators\' port listens, if it differs from --bind.',
	},
	logLevel: {
		type: 'choice', choices: logLevels, default: 'info', group: 'Operation', description: 'Least severe level that is logged.',
	},
	operatorToken: {
		type: 'text',
		secret: true,
		pattern: {test: /^[\u0021-\u007E]{16,}$/, hint: 'at least 16 visible ASCII characters'},
		group: 'Keys',
		description: 'Token that operators send as "Authorization: Bearer"; without it the port answers anyone who can reach it.',
	},
	operatorTlsCertFile: {
		type: 'file', group: 'Keys', description: 'Certificate chain of the operators\' port, PEM.',
	},
	operatorTlsKeyFile: {
		type: 'file', group: 'Keys', description: 'Private key of the operators\' port, PEM.',
	},
	peerTlsCertFile: {
		type: 'file', group: 'Keys', description: 'Certificate chain shown to peers, PEM; with key and CA file it turns mutual TLS on.',
	},
	peerTlsKeyFile: {
		type: 'file', group: 'Keys', description: 'Private key for --peer-tls-cert-file, PEM.',
	},
	peerTlsCaFile: {
		type: 'file', group: 'Keys', description: 'Certificates of the authorities that sign the peers\' certificates, PEM.',
	},
	keyPollInterval: {
		type: 'duration', default: 5 * msPerSecond, min: 100, max: 3600 * msPerSecond, group: 'Keys', description: 'Interval at which key files are checked for changes.',
	},
});

/**
 * Finds the files that are missing from an incomplete set of key files.
 *
 * @param files - Value by flag, for files that only work together.
 * @returns One fault for each missing file, none when all or no files are given.
 */
export function findPartialKeys(files: Readonly<Record<string, string | undefined>>): SettingFault[] {
	const given = Object.entries(files).filter(([, file]) => file !== undefined);
	const missing = Object.entries(files).filter(([, file]) => file === undefined);
	if (given.length === 0) {
		return [];
	}

	const partner = given[0]![0];
	return missing.map(([flag]) => ({place: flag, message: `is missing while ${partner} is given`, remedy: `give ${Object.keys(files).join(', ')} together, or none of them`}));
}

type CommonKeys = Record<'operatorTlsCertFile' | 'operatorTlsKeyFile' | 'peerTlsCertFile' | 'peerTlsKeyFile' | 'peerTlsCaFile', string | undefined>;

/**
 * Checks the shared settings against each other.
 *
 * @param values - Parsed values.
 * @returns Faults; empty when the settings are consistent.
 */
export function checkCommonSettings(values: CommonKeys): SettingFault[] {
	return [
		...findPartialKeys({
			'--operator-tls-cert-file': values.operatorTlsCertFile,
			'--operator-tls-key-file': values.operatorTlsKeyFile,
		}),
		...findPartialKeys({
			'--peer-tls-cert-file': values.peerTlsCertFile,
			'--peer-tls-key-file': values.peerTlsKeyFile,
			'--peer-tls-ca-file': values.peerTlsCaFile,
		}),
	];
}
