import {msPerDay, msPerSecond} from '../../ports/units.js';
import {type Log} from '../log/index.js';
import {type Metrics} from '../metrics/index.js';
import {type Keys} from './index.js';

/** Uses of keys within a program. */
const keyUses = ['caller', 'peer', 'operator'] as const;

export type KeyUse = typeof keyUses[number];

const warnBefore = 14 * msPerDay;

export type ReportKeysOptions = {
	keys: Partial<Record<KeyUse, Keys | undefined>>;
	log: Log;
	metrics: Metrics;
	wallNow?: () => number;
};

/**
 * Reports the state of a program's keys in log lines, metrics, and reasons for the readiness document.
 *
 * @param options - Keys by use, log and metrics.
 * @returns A function that returns the current faults and expiring certificates as texts. They are warnings: the program is ready, since the old keys work.
 */
export function reportKeys(options: ReportKeysOptions): () => string[] {
	const {log, metrics, wallNow = Date.now} = options;
	const inUse = keyUses.flatMap(use => {
		const keys = options.keys[use];
		return keys === undefined ? [] : [{use, keys}];
	});
	const reloads = metrics.createCounter({name: 'key_reloads_total', help: 'Changes of key files, taken or refused.', labels: {use: keyUses, result: ['taken', 'refused']}});
	metrics.createSampledGauge({
		name: 'key_faults', help: 'Key files that cannot be used, while old keys stay in use.', sample: () => inUse.filter(({keys}) => keys.fault() !== undefined).length,
	});
	metrics.createSampledGauge({
		name: 'key_expiry_seconds',
		help: 'Time until the first certificate in use ends; +Inf without keys.',
		sample: () => Math.min(...inUse.map(({keys}) => (keys.expiresAt() - wallNow()) / msPerSecond)),
	});

	for (const {use, keys} of inUse) {
		keys.listen(event => {
			if (event.kind === 'kept-old') {
				reloads.add({use, result: 'refused'});
				log.error('key files cannot be used; the old keys stay in use', {kind: use, file: event.fault.file, reason: event.fault.message});
			} else if (event.kind === 'reloaded') {
				reloads.add({use, result: 'taken'});
				log.info('new keys are in use', {kind: use, to: new Date(event.expiresAt).toISOString()});
			} else {
				log.info('key files are usable again and match the keys in use', {kind: use});
			}
		});
	}

	return () => inUse.flatMap(({use, keys}) => {
		const fault = keys.fault();
		const left = keys.expiresAt() - wallNow();
		return [
			...fault === undefined ? [] : [`${use} keys: ${fault.file} ${fault.message}; the old keys stay in use`],
			...left > warnBefore ? [] : [`${use} keys: a certificate ends in ${Math.max(0, Math.floor(left / msPerDay))} days; renew it`],
		];
	});
}
