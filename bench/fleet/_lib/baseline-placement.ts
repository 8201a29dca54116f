/** Baseline placement: round robin over the servers of a pool by role, regardless of load, without the servers that the request has already tried. */
import {err, ok} from 'neverthrow';
import {createPlacement as createReal, type PlacementAccount, type PlacementDecider} from '../../../src/domain/create-placement/index.js';
import {type ServerEntry} from '../../../src/ports/config.js';
import {type FleetView} from '../../../src/ports/view.js';
import {decodeMsPerToken} from '../../admission/_lib/fleets.js';

const retryAfterMs = 1000;
const reservationTtlMs = 5000;
/** Constant in place of a prediction; no decision depends on it. */
const predictedMs = 100;

export function createPlacement(options: Parameters<typeof createReal>[0]): PlacementDecider {
	let turn = 0;

	function pickNext(view: FleetView, pool: string, role: ServerEntry['role'], exclude: ReadonlySet<string> | undefined): ServerEntry | undefined {
		const servers = view.accepted?.config.servers.filter(server => server.pool === pool && server.role === role && exclude?.has(server.id) !== true) ?? [];
		turn += 1;
		return servers[turn % Math.max(1, servers.length)];
	}

	const toAccount = (pool: string, chosen: readonly string[]) => (): PlacementAccount => ({
		pool, chosen, passedOver: [], counts: {}, notLookedAt: 0,
	});
	const toRefusal = (pool: string) => err({
		reason: 'no-server' as const, message: `no untried server of pool ${pool}`, retryAfterMs, account: toAccount(pool, []),
	});

	return {
		...createReal(options),
		pick(request, view) {
			const prefill = pickNext(view, request.pool, 'prefill', request.exclude);
			const decode = pickNext(view, request.pool, 'decode', request.exclude);
			return prefill === undefined || decode === undefined
				? toRefusal(request.pool)
				: ok({
					kind: 'pair',
					prefill,
					decode,
					version: request.version,
					promptTokens: request.promptTokens,
					prefixBlocks: [],
					expectedCachedTokens: 0,
					predictedPrefillMs: predictedMs,
					predictedFirstTokenMs: predictedMs,
					predictedStepMs: decodeMsPerToken,
					maxTokens: request.maxTokens,
					class: request.class,
					reservationTtlMs,
					account: toAccount(request.pool, [prefill.id, decode.id]),
				});
		},
		pickPlain(request, view) {
			const server = pickNext(view, request.pool, 'plain', request.exclude);
			return server === undefined
				? toRefusal(request.pool)
				: ok({
					kind: 'plain', cooldown: 0, server, account: toAccount(request.pool, [server.id]),
				});
		},
	};
}
