import {type Milliseconds} from '../../../ports/clock.js';
import {type ConfigVersion} from '../../../ports/config.js';
import {type FleetView, type HostStatus, type SummaryRow} from '../../../ports/view.js';

/** What the operators' port shows of the agent's view. */
export type AgentStatus = {
	config: ConfigVersion | undefined;
	/** -1 when the platform never confirmed. */
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
	/** What other zones say of their servers; empty in a small fleet, where the loads of all are known. */
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
