/**
 * Gives the servers that this agent polls the orders that follow from the
 * accepted configuration, and from nothing else.
 */
import {type Log} from '../../../adapters/log/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {isOrderAllowed} from '../../../domain/is-order-allowed/index.js';
import {pickLoads} from '../../../domain/pick-loads/index.js';
import {type WantedOrder} from '../../../domain/to-orders/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type Engine} from '../../../ports/engine.js';
import {type ServerId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {msPerSecond} from '../../../ports/units.js';
import {createWantedSince} from './create-wanted-since.js';

const planIntervalMs = 2 * msPerSecond;
const callTimeoutMs = 5 * msPerSecond;

/** Time that a server has to show in its report that it took an order, before it is given again. */
const repeatMs = 5 * msPerSecond;

export type GiveOrdersOptions = {
	view: () => FleetView;
	/** Servers that this host looks after. */
	servers: () => readonly ServerEntry[];
	toEngine: (server: ServerEntry) => Engine;
	/** Whether this process may act: not just awake from a pause. */
	mayAct: () => boolean;
	onGiven: () => void;
	log: Log;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

/** Runs until the signal aborts. */
export async function giveOrders(options: GiveOrdersOptions): Promise<void> {
	const {view, servers, toEngine, mayAct, onGiven, log, now, random, signal} = options;
	const givenAt = new Map<ServerId, Milliseconds>();
	const toWantedSince = createWantedSince(now);
	let plannedDigest: string | undefined;

	/** The last check; nothing is awaited between it and the sending. */
	function mayGive(server: ServerEntry, {order}: WantedOrder, decidedAt: Milliseconds): boolean {
		if (!mayAct()) {
			return false;
		}

		const {accepted, servers: statuses, platformConfirmedAt} = view();
		const status = statuses.get(server.id);
		// A later edition, in force here or known to the server, ends this order.
		const isCurrent = accepted?.version.edition === order.fence && accepted.version.digest === plannedDigest;
		const isOvertaken = (status?.load?.fence ?? 0) > order.fence;
		return status !== undefined && isCurrent && !isOvertaken && isOrderAllowed({
			checksFence: server.checksFence,
			confirmedAgeMs: platformConfirmedAt === undefined ? Infinity : now() - platformConfirmedAt,
			reportAgeMs: now() - status.loadAt,
			sinceDecisionMs: now() - decidedAt,
		});
	}

	async function give(server: ServerEntry, wanted: WantedOrder, decidedAt: Milliseconds) {
		const engine = toEngine(server);
		if (!mayGive(server, wanted, decidedAt)) {
			return;
		}

		givenAt.set(server.id, now());
		const result = await engine.order(wanted.order, {signal: AbortSignal.timeout(callTimeoutMs)});
		const fields = {server: server.id, order: wanted.order.kind, fence: wanted.order.fence};
		if (result.isOk()) {
			onGiven();
			log.info('order given', fields);
		} else {
			log.warn('order not taken', {
				...fields, kind: result.error.kind, reason: result.error.message, remedy: 'none for once, it is given again; if it goes on, take that server out and tell its makers',
			});
		}
	}

	async function plan() {
		const current = view();
		if (!current.accepted || !mayAct()) {
			return;
		}

		const decidedAt = now();
		const acceptedAt = toWantedSince(current.accepted.config);
		plannedDigest = current.accepted.version.digest;
		const mine = new Map(servers().map(server => [server.id, server]));
		const {orders} = pickLoads(current, current.accepted, decidedAt, {acceptedAt});
		const due = orders.filter(({server}) => mine.has(server) && decidedAt - (givenAt.get(server) ?? -Infinity) >= repeatMs);
		await Promise.all(due.map(async wanted => give(mine.get(wanted.server)!, wanted, decidedAt)));
	}

	while (!signal.aborted) {
		await plan();
		await waitFor(planIntervalMs * (0.9 + (random() / 5)), signal);
	}
}
