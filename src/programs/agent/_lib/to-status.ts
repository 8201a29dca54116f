import {type Milliseconds} from '../../../ports/clock.js';
import {type ConfigVersion} from '../../../ports/config.js';
import {type FleetView, type HostStatus, type SummaryRow} from '../../../ports/view.js';

/** The agent's view in the status document of the operators' port. */
export type AgentStatus = {
	config: ConfigVersion | undefined;
	/** Age of the platform's last confirmation; -1 if there was none. */
	platformConfirmedAgeMs: Milliseconds;
	hosts: readonly HostStatus[];
	servers: ReadonlyArray<{
		id: string;
		leaving: boolean;
		reachable: boolean | undefined;
		loadAgeMs: Milliseconds | undefined;
		slotsUsed: number | undefined;
		queued: number | undefined;
	}>;
	/** Summaries of other zones' servers; empty in a small fleet, where the loads of all servers are known. */
	zones: ReadonlyArray<{zone: string; ageMs: Milliseconds; rows: readonly SummaryRow[]}>;
};

/**
 * Turns a view into the status document.
 *
 * @param view - The agent's view.
 * @param now - Monotonic milliseconds.
 * @returns The document.
 */
export function toStatus(view: FleetView, now: Milliseconds): AgentStatus {
	return {
		config: view.accepted?.version,
		platformConfirmedAgeMs: view.platformConfirmedAt === undefined ? -1 : Math.round(now - view.platformConfirmedAt),
		hosts: [...view.hosts.values()],
		servers: [...view.servers.values()].map(({id, leaving, reachable, load, loadAt}) => ({
			id, leaving, reachable, loadAgeMs: load && Math.round(now - loadAt), slotsUsed: load?.slotsUsed, queued: load?.queued,
		})),
		zones: [...view.zones?.values() ?? []].map(({zone, at, rows}) => ({zone, ageMs: Math.round(now - at), rows})),
	};
}
