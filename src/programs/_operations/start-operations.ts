import {ok, type Result} from 'neverthrow';
import {type Log} from '../../adapters/log/index.js';
import {type Metrics} from '../../adapters/metrics/index.js';
import {
	startOperatorServer, type OperatorServer, type OperatorServerFault, type OperatorServerOptions, type OperatorSources, type ReadinessReason,
} from '../../adapters/operator-http/index.js';
import {type ProgramKeys} from './load-program-keys.js';

export type OperationsOptions = {
	settings: {
		bind: string;
		operatorBind?: string | undefined;
		operatorPort: number;
		operatorToken?: string | undefined;
		metricsPort?: number | undefined;
	};
	log: Log;
	metrics: Metrics;
	keys?: ProgramKeys | undefined;
	/** Returns why the program takes no requests; empty when it does. Called for each request to the operators' port. */
	notReadyReasons: () => readonly ReadinessReason[];
	/** Returns problems that need an operator's attention while requests are still taken; listed in the readiness document. */
	warnings?: () => readonly ReadinessReason[];
	/** Called before each export of the metrics, to set gauges. */
	beforeMetrics?: () => void;
	status: () => unknown;
	slo?: OperatorSources['slo'];
	explain?: OperatorSources['explain'];
};

/**
 * Opens a program's operators' port with readiness, metrics and status.
 *
 * @param options - Address of the port, and sources of its documents.
 * @returns The server, or why the port cannot be opened.
 *
 * @example
 * ```ts
 * const operators = await startOperations({
 * 	settings, log, metrics, keys, notReadyReasons: () => agent.notReadyReasons().map(reason => ({reason})), status: () => agent.counts(),
 * });
 * ```
 */
export async function startOperations(options: OperationsOptions): Promise<Result<OperatorServer, OperatorServerFault>> {
	const {settings, log, metrics, keys} = options;
	const readyGauge = metrics.createGauge({name: 'ready', help: 'Whether the program takes requests: 1 or 0.'});
	metrics.createSampledCounter({name: 'log_lines_dropped_total', help: 'Log lines dropped because standard output took none.', sample: log.droppedCount});
	const sources: Omit<OperatorServerOptions, 'port'> = {
		bind: settings.operatorBind ?? settings.bind,
		token: settings.operatorToken,
		keys: keys?.operator,
		readiness() {
			const notReady = options.notReadyReasons();
			const warnings = options.warnings?.() ?? [];
			const keyReasons = (keys?.toReasons() ?? []).map(reason => ({reason}));
			return {ready: notReady.length === 0, reasons: [...notReady, ...warnings, ...keyReasons]};
		},
		metrics() {
			readyGauge.set({}, options.notReadyReasons().length === 0 ? 1 : 0);
			options.beforeMetrics?.();
			return metrics.toPrometheus();
		},
		status: options.status,
		...options.slo === undefined ? {} : {slo: options.slo},
		...options.explain === undefined ? {} : {explain: options.explain},
		onFault(path, error) {
			log.error('a document for operators could not be created', {route: path, cause: error instanceof Error ? error.stack ?? error.message : String(error)});
		},
	};
	const main = await startOperatorServer({...sources, port: settings.operatorPort});
	if (main.isErr() || settings.metricsPort === undefined) {
		return main;
	}

	const metricsServer = await startOperatorServer({...sources, port: settings.metricsPort});
	return metricsServer.match(({close}) => ok(addMetricsServer(main.value, close)), fault => {
		// A metrics port that can't be opened must not keep the program from serving callers.
		log.error('the metrics port can\'t be opened; metrics are served on the operators\' port only', {reason: fault.message});
		return main;
	});
}

function addMetricsServer(main: OperatorServer, closeMetricsServer: OperatorServer['close']): OperatorServer {
	return {
		port: main.port,
		async close(timeout) {
			await Promise.all([main.close(timeout), closeMetricsServer(timeout)]);
		},
	};
}
