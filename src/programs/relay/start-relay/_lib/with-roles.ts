/** Manages the roles of servers on the one host that gives orders. */
import {type Log} from '../../../../adapters/log/index.js';
import {type Clock, type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type RelaySettings} from '../../../_settings/index.js';
import {createPlainClients} from '../../../entry/_lib/plain-clients.js';
import {type Entry, type EntryOptions} from '../../../entry/start-entry/index.js';
import {createRoleManager} from '../../create-role-manager/index.js';

/** Interval between two checks of the roles; the needed roles change only as servers come and go. */
const roleTickMs: Milliseconds = msPerSecond;

export type RolesOptions = Pick<EntryOptions, 'createCalls'> & {
	settings: RelaySettings;
	clock: Clock;
	log: Log;
	/** Whether the platform answered the last read. */
	isConnected: () => boolean;
};

/**
 * Adds the management of roles to an entry.
 *
 * @param entry - The running entry.
 * @param options - Settings that name the host which gives orders, and how to call servers.
 * @returns The entry; if this host is the one that gives orders, it manages roles until it stops.
 */
export function withRoles(entry: Entry, {settings, clock, log, createCalls, isConnected}: RolesOptions): Entry {
	const {controlAddress, ordersFrom, prefillShare, hostId} = settings;
	if (ordersFrom === undefined || controlAddress !== ordersFrom) {
		return entry;
	}

	const clients = createPlainClients({connectTimeoutMs: settings.engineConnectTimeout});
	const assignRole = createCalls?.(clients.toDispatcher, {onNotice: entry.handleNotice}).assignRole;
	if (assignRole === undefined) {
		return entry;
	}

	log.info('this host gives orders to servers');
	const roleManager = createRoleManager({
		host: hostId, prefillShare, clock, log, assignRole, isConnected, toView: entry.view, toPrefillShare: entry.toPrefillShare,
	});
	const timer = setInterval(() => {
		void roleManager.tick();
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
