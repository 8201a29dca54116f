/**
 * Keeps the requests of all hosts at a server within the limit that it states. The
 * hosts count them together, as they count the use of workspaces; a server that may
 * get no more is passed over until it may.
 */
import {type Log} from '../../../adapters/log/index.js';
import {type RequestLimits} from '../../../domain/create-request-limits/index.js';
import {type Clock, type Milliseconds} from '../../../ports/clock.js';
import {type ServerId} from '../../../ports/ids.js';
import {type Quotas, type QuotaSpend} from '../../../ports/quotas.js';
import {type ServerLimits} from '../../../ports/request-limits.js';

export type ServerLimitsOptions = {
	limits: RequestLimits;
	/** Counts what all hosts send. */
	quotas: Quotas;
	clock: Clock;
	log: Log;
	/** Passes a server over in placement for a time. */
	noteLimited: (server: ServerId, limitedMs: Milliseconds) => void;
	/** Counts requests that a server was not sent because of its limit. */
	countHeldBack: () => void;
};

/** Requests that may come at once, as time at the limit; an unused limit is not saved up for longer. */
const burstSeconds = 0.25;

/** Room for a request that needs two calls at a server, above what comes at once. */
const burstRequests = 2;

/** Shortest time for which a server without room is passed over, so that another pick does not return it at once. */
const minLimitedMs: Milliseconds = 10;

/** Sets the counts of servers apart from those of workspaces. */
const toQuotaName = (server: ServerId): string => `server-limit/${server}`;

/**
 * Creates the limits of servers for the requests of one host.
 *
 * @param options - See {@link ServerLimitsOptions}.
 * @returns See {@link ServerLimits}.
 */
export function createServerLimits({limits, quotas, clock, log, noteLimited, countHeldBack}: ServerLimitsOptions): ServerLimits {
	function toSpend(server: ServerId, requests: number): QuotaSpend | undefined {
		const now = clock.now();
		const perSecond = limits.toPerSecond(server, now);
		if (perSecond === undefined) {
			return undefined;
		}

		return {
			workspace: toQuotaName(server),
			cost: requests,
			// Where hosts know different limits, the later one applies, by the time of day as all hosts have it.
			edition: Math.floor(clock.wallNow() - (limits.toAgeMs(server, now) ?? 0)),
			rate: {perSecond, burst: burstRequests + (perSecond * burstSeconds)},
			isScarce: true,
		};
	}

	return {
		async take({id}, requests) {
			const spend = toSpend(id, requests);
			if (spend === undefined) {
				return true;
			}

			const {isGranted, waitMs} = await quotas.take(spend);
			if (!isGranted) {
				countHeldBack();
			}

			const limitedMs = isGranted ? waitMs : Math.max(minLimitedMs, waitMs);
			if (limitedMs > 0) {
				noteLimited(id, limitedMs);
			}

			return isGranted;
		},
		giveBack({id}, requests) {
			const spend = toSpend(id, requests);
			if (spend !== undefined) {
				quotas.giveBack(spend);
			}
		},
		noteAnswer({id}, stated, calledAt) {
			if (limits.noteAnswer(id, stated, calledAt)) {
				logLimit(log, id, limits.toPerSecond(id, clock.now()));
			}
		},
		isLimited: ({id}) => limits.toPerSecond(id, clock.now()) !== undefined,
	};
}

/**
 * Logs that a server limits its requests, or does so no more.
 *
 * @param log - The log.
 * @param server - The server.
 * @param perSecond - Requests a second that it takes; `undefined` without a limit.
 */
export function logLimit(log: Log, server: ServerId, perSecond: number | undefined): void {
	if (perSecond === undefined) {
		log.info('server limits its requests no more', {server});
	} else {
		log.info('server limits its requests', {server, limit: perSecond});
	}
}
