import {windowNames} from '../../_lib/slo/index.js';
import {type Metrics} from '../../adapters/metrics/index.js';
import {type OperatorSources} from '../../adapters/operator-http/index.js';
import {type SloLedger} from '../../domain/create-slo-ledger/index.js';
import {toBurnPage} from '../../domain/to-burn-page/index.js';
import {toBurnRates} from '../../domain/to-burn-rates/index.js';
import {type Clock} from '../../ports/clock.js';

const alertLevels = ['page', 'ticket'] as const;

/**
 * Exposes a ledger on the operators' port and as metrics.
 *
 * @param ledger - Counts of this process.
 * @param clock - Clocks of this process.
 * @param metrics - Metrics to add gauges to.
 * @returns The options `slo` and `beforeMetrics` of `startOperations`.
 *
 * @example
 * ```ts
 * const {slo, beforeMetrics} = reportSlo(ledger, clock, metrics);
 * ```
 */
export function reportSlo(ledger: SloLedger, clock: Clock, metrics: Metrics): {slo: NonNullable<OperatorSources['slo']>; beforeMetrics: () => void} {
	const burnGauge = metrics.createGauge({
		name: 'slo_burn_rate', help: 'Share of bad requests over the share that the objective allows.', labels: {class: ['quick', 'batch'], window: windowNames},
	});
	const alertGauge = metrics.createGauge({name: 'slo_alerts', help: 'Classes, rules and workspaces that burn fast enough for an alert.', labels: {level: alertLevels}});
	return {
		slo: {
			toDocument: () => ledger.toDocument(clock.now()),
			toPage() {
				const document = ledger.toDocument(clock.now());
				return toBurnPage(document, toBurnRates(document), {writtenAt: clock.wallNow()});
			},
		},
		beforeMetrics() {
			const {rows} = toBurnRates(ledger.toDocument(clock.now()));
			for (const row of rows.filter(({scope}) => scope === 'class')) {
				for (const {window, burn} of row.windows) {
					burnGauge.set({class: row.class, window}, burn);
				}
			}

			for (const level of alertLevels) {
				alertGauge.set({level}, rows.filter(row => row.alert === level).length);
			}
		},
	};
}
