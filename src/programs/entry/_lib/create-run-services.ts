/** Builds the services that runs share: placement, admission, cancels, budgets and metrics. */
import {setTimeout as sleep} from 'node:timers/promises';
import {errAsync} from 'neverthrow';
import {type Log} from '../../../adapters/log/index.js';
import {createAdmission} from '../../../domain/create-admission/index.js';
import {createPlacement} from '../../../domain/create-placement/index.js';
import {type RetryBudgetOptions} from '../../../domain/create-retry-budget/index.js';
import {type SharedLoads} from '../../../domain/create-shared-loads/index.js';
import {type ServerHealthOptions} from '../../../domain/create-server-health/index.js';
import {createTransferTimeouts} from '../../../domain/create-transfer-timeouts/index.js';
import {tokensPerBlock} from '../../../domain/to-prefix-blocks/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type Config} from '../../../ports/config.js';
import {type EngineFailure} from '../../../ports/engine.js';
import {
	type HostId, type Owner, type ServerId, type ZoneId,
} from '../../../ports/ids.js';
import {type SharedRetryPool} from '../../../ports/retries.js';
import {type FleetView} from '../../../ports/view.js';
import {type Engines} from '../../_engines/index.js';
import {createCancelQueue, type CancelQueueOptions} from '../cancel-queue/index.js';
import {createGate} from '../gate/index.js';
import {createPoolBudgets} from './create-pool-budgets/index.js';
import {type createEntryMetrics} from './create-entry-metrics.js';
import {type RunServices} from './types.js';

export type RunServicesOptions = {
	clock: Clock;
	random: Random;
	host: HostId;
	zone: ZoneId;
	engines: Engines;
	counters: ReturnType<typeof createEntryMetrics>;
	log: Log;
	reservationTtlMs: Milliseconds;
	/** Bounds of each pool's retries. */
	retryBudget: RetryBudgetOptions;
	/** Retries that the hosts spend together. */
	sharedRetries?: SharedRetryPool | undefined;
	health?: ServerHealthOptions | undefined;
	/** Load and zone reports of other hosts, where hosts exchange them. */
	shared?: Pick<SharedLoads, 'read' | 'isZoneSilent'> | undefined;
	toView: () => FleetView | undefined;
	toOwner: () => Owner;
	reportLeaving: (server: ServerId) => void;
};

/** Failure of a cancel to a server without a client; a success here would count a cancel as confirmed that was never sent. */
function toUnknownServerFailure(server: ServerId): EngineFailure {
	return {
		kind: 'unreachable', reason: undefined, server, message: 'the server is no longer in the configuration', retryAfterMs: undefined,
	};
}

/**
 * Creates the services that runs share.
 *
 * @param options - Clocks, clients, counters, and access to the entry's view and owner.
 * @returns The services, and a function to call with each configuration that comes into force.
 */
export function createRunServices(options: RunServicesOptions): {services: RunServices; applyConfig: (config: Config) => void} {
	const {
		clock, random, host, zone, engines, counters, log, reservationTtlMs, toView, toOwner, reportLeaving,
	} = options;
	const budgets = createPoolBudgets(options.retryBudget, {onSurplus: options.sharedRetries?.leave});
	let lastConfig: Config | undefined;
	let servers: ReadonlySet<ServerId> = new Set();

	const cancel: CancelQueueOptions['cancel'] = (server, key, timeoutMs) =>
		engines.findEngine(server)?.cancel(key, {signal: AbortSignal.timeout(timeoutMs)}) ?? errAsync(toUnknownServerFailure(server));

	const services: RunServices = {
		clock,
		random,
		toOwner,
		toView,
		toEngine: engines.toEngine,
		placement: createPlacement({
			zone, host, tokensPerBlock, ...(options.health && {health: options.health}), ...(options.shared && {readPeerLoad: options.shared.read, isZoneSilent: options.shared.isZoneSilent}),
		}),
		gate: createGate({admission: createAdmission(), zone, now: clock.now}),
		cancels: createCancelQueue({
			cancel,
			isGone: server => !servers.has(server),
			now: clock.now,
			random,
			sleep,
			onSettled(server, key, end, tookMs) {
				counters.cancels.add({end});
				log.info('attempt cancelled on server', {
					requestId: key.requestId, attempt: key.attempt, server, state: end, durationMs: tookMs,
				});
			},
		}),
		reportLeaving,
		toRetryBudget: budgets.toRetryBudget,
		sharedRetries: options.sharedRetries,
		transferTimeouts: createTransferTimeouts(),
		runMetrics: counters.runMetrics,
		reservationTtlMs,
	};

	return {
		services,
		applyConfig(config) {
			if (config === lastConfig) {
				return;
			}

			lastConfig = config;
			servers = new Set(config.servers.map(server => server.id));
			engines.keepOnly(servers);
			budgets.setPools(new Set(config.pools.map(pool => pool.name)), clock.now());
		},
	};
}
