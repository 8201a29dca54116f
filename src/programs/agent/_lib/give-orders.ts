/**
 * Sends orders to the servers that this agent polls. The orders follow from the
 * accepted configuration alone.
 */
import {type Log} from '../../../adapters/log/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {isOrderAllowed, isViewConfirmed, toOrderCircumstances} from '../../../domain/is-order-allowed/index.js';
import {planRollout} from '../../../domain/plan-rollout/index.js';
import {toHeldNotices, type HeldNotice} from '../../../domain/to-held-notices/index.js';
import {type WantedOrder} from '../../../domain/to-orders/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ConfigVersion, type ServerEntry} from '../../../ports/config.js';
import {type Engine} from '../../../ports/engine.js';
import {type ServerId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {msPerSecond} from '../../../ports/units.js';
import {createWantedSince} from './create-wanted-since.js';

const planIntervalMs = 2 * msPerSecond;
const callTimeoutMs = 5 * msPerSecond;

/** Time after which an order is repeated if the server's load report does not show its effect. */
const repeatMs = 5 * msPerSecond;

export type GiveOrdersOptions = {
	view: () => FleetView;
	/** Servers that this host polls. */
	servers: () => readonly ServerEntry[];
	toEngine: (server: ServerEntry) => Engine;
	/** Whether this process may act: it has not just woken up from a pause. */
	mayAct: () => boolean;
	/** Whether this host knows that a newer configuration than its own exists. */
	isBehind: () => boolean;
	onGiven: () => void;
	/** Called after each planning round with the orders that wait. */
	onHeld: (notices: readonly HeldNotice[]) => void;
	log: Log;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

/**
 * Plans and sends orders until the signal aborts.
 *
 * @param options - See {@link GiveOrdersOptions}.
 */
export async function giveOrders(options: GiveOrdersOptions): Promise<void> {
	const {view, servers, toEngine, mayAct, isBehind, onGiven, onHeld, log, now, random, signal} = options;
	const givenAt = new Map<ServerId, Milliseconds>();
	const toWantedSince = createWantedSince(now);
	let plannedVersion: ConfigVersion | undefined;

	/** The last check before an order is sent; nothing is awaited between the check and the call. */
	function mayGive(wanted: WantedOrder, decidedAt: Milliseconds): boolean {
		// While a peer has a newer edition, the platform's confirmation that it relays is not about this host's edition.
		if (!mayAct() || isBehind()) {
			return false;
		}

		return isOrderAllowed(toOrderCircumstances(view(), wanted, {at: decidedAt, version: plannedVersion}, now()));
	}

	async function give(server: ServerEntry, wanted: WantedOrder, decidedAt: Milliseconds) {
		const engine = toEngine(server);
		if (!mayGive(wanted, decidedAt)) {
			return;
		}

		givenAt.set(server.id, now());
		const result = await engine.order(wanted.order, {signal: AbortSignal.timeout(callTimeoutMs)});
		const fields = {server: server.id, order: wanted.order.kind, fence: wanted.order.fence};
		if (result.isOk()) {
			onGiven();
			log.info('order accepted by the server', fields);
		} else {
			log.warn('order failed', {
				...fields, kind: result.error.kind, reason: result.error.message, remedy: 'none after a single failure, the order is repeated; if failures go on, remove the server',
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
		plannedVersion = current.accepted.version;
		const mine = new Map(servers().map(server => [server.id, server]));
		const {orders, held} = planRollout(current, current.accepted, decidedAt, {acceptedAt});
		const isUnconfirmed = isBehind() || !isViewConfirmed(current, decidedAt);
		const unconfirmed = isUnconfirmed ? orders.map(wanted => ({...wanted, reason: 'unconfirmed' as const})) : [];
		onHeld(toHeldNotices([...held, ...unconfirmed], current.accepted.config));
		const due = orders.filter(({server}) => mine.has(server) && decidedAt - (givenAt.get(server) ?? -Infinity) >= repeatMs);
		await Promise.all(due.map(async wanted => give(mine.get(wanted.server)!, wanted, decidedAt)));
	}

	while (!signal.aborted) {
		await plan();
		await waitFor(planIntervalMs * (0.9 + (random() / 5)), signal);
	}
}
