/** Manages the roles of servers while this host is the one that gives orders. */
import {type Log} from '../../../../adapters/log/index.js';
import {type OrderAuthority} from '../../../../domain/create-order-authority/index.js';
import {type Clock, type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type RelaySettings} from '../../../_settings/index.js';
import {createPlainClients} from '../../../entry/_lib/plain-clients.js';
import {type Entry, type EntryOptions} from '../../../entry/start-entry/index.js';
import {createRoleManager, type RoleManager} from '../../create-role-manager/index.js';

/** Interval between two checks of the roles; the needed roles change only as servers come and go. */
const roleTickMs: Milliseconds = msPerSecond;

export type RolesOptions = Pick<EntryOptions, 'createCalls'> & {
	settings: RelaySettings;
	clock: Clock;
	log: Log;
	orderAuthority: OrderAuthority;
	/** Reads the control address of the host that gives orders, by the settings in force. */
	readOrdersFrom?: () => string | undefined;
	/** Whether the platform answered the last read, and other hosts are heard. */
	isConnected: () => boolean;
};

/**
 * Adds the management of roles to an entry.
 *
 * @param entry - The running entry.
 * @param options - Settings, which host gives orders, and how to call servers.
 * @returns The entry; it manages roles until it stops, whenever this host is the one that gives orders.
 */
export function withRoles(entry: Entry, options: RolesOptions): Entry {
	const {
		settings, clock, log, createCalls, isConnected, orderAuthority, readOrdersFrom = () => settings.ordersFrom,
	} = options;
	const {controlAddress, prefillShare, hostId} = settings;
	const clients = createPlainClients({connectTimeoutMs: settings.engineConnectTimeout});
	const assignRole = createCalls?.(clients.toDispatcher, {onNotice: entry.handleNotice}).assignRole;
	if (assignRole === undefined || controlAddress === undefined) {
		return entry;
	}

	let roleManager: RoleManager | undefined;
	const startManager = (): RoleManager => {
		log.info('this host gives orders to servers');
		return createRoleManager({
			host: hostId, prefillShare, clock, log, assignRole, isConnected: () => isConnected() && orderAuthority.mayGiveOrders(clock.now()), toView: entry.view, toPrefillShare: entry.toPrefillShare,
		});
	};

	const timer = setInterval(() => {
		const now = clock.now();
		orderAuthority.noteNamed(readOrdersFrom() === controlAddress, now, clock.wallNow());
		roleManager = orderAuthority.isClaiming() ? roleManager ?? startManager() : undefined;
		void roleManager?.tick();
	}, roleTickMs);
	return {
		...entry,
		async stop() {
			clearInterval(timer);
			await entry.stop();
			await clients.close();
		},
	};
}
