/** Applies an update of the agent to the entry's view. */
import {type Result} from 'neverthrow';
import {type Milliseconds} from '../../../ports/clock.js';
import {collectParts} from '../../../domain/collect-parts/index.js';
import {
	type AcceptedConfig, type Config, type ConfigVersion, type FindPart,
} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';
import {type FleetView, type HostStatus, type ServerStatus} from '../../../ports/view.js';
import {msPerSecond} from '../../../ports/units.js';
import {type FeedServer, type FeedUpdate} from './messages.js';

/** Time in which a restarted agent that reaches any peer names the hosts that its entry knows. Hosts not named by then are removed. */
const unnamedLimitMs = 30 * msPerSecond;

/** The entry's view, and the hosts in it that the agent has not named since the agent's start. */
export type EntryView = FleetView & {
	unnamed?: {hosts: ReadonlySet<HostId>; since: Milliseconds} | undefined;
};

export const emptyView: EntryView = {
	accepted: undefined,
	hosts: new Map(),
	servers: new Map(),
	platformConfirmedAt: undefined,
	receivedAt: -Infinity,
};

export type ApplyOptions = {
	/** Parses the text of a configuration document; `findPart` finds its parts. */
	parse: (text: string, findPart: FindPart) => Result<Config, unknown>;
	/** Whether the first version replaces the second. */
	isNewer: (candidate: ConfigVersion, current: ConfigVersion) => boolean;
	/** Called for a document of the agent that can't be parsed or is older than the one in force. */
	onRefusedConfig?: (version: ConfigVersion, reason: string) => void;
	/** Called when a part that the agent left out is missing here. */
	onMissingPart?: (version: ConfigVersion) => void;
};

function toMerged<Value extends {id: string}>(prev: ReadonlyMap<string, Value>, changed: readonly Value[], gone: readonly string[], whole = false): ReadonlyMap<string, Value> {
	if (changed.length === 0 && gone.length === 0 && !whole) {
		return prev;
	}

	const merged = new Map(whole ? [] : prev);
	for (const value of changed) {
		merged.set(value.id, value);
	}

	for (const id of gone) {
		merged.delete(id);
	}

	return merged;
}

function toStatus({id, leaving, load, loadAgeMs, reachable, reachableAgeMs}: FeedServer, prev: ServerStatus | undefined, sentAt: Milliseconds): ServerStatus {
	// An agent that has just started has polled no server yet. The entry keeps its last load and reachability, with their age.
	const isKept = load === undefined && prev?.load !== undefined;
	const foundAt = reachableAgeMs === undefined ? undefined : sentAt - reachableAgeMs;
	return {
		id,
		leaving,
		load: isKept ? prev.load : load,
		loadAt: isKept ? prev.loadAt : sentAt - loadAgeMs,
		reachable: reachable ?? prev?.reachable,
		reachableAt: reachable === undefined ? prev?.reachableAt : foundAt,
	};
}

/**
 * Returns the hosts that the agent has not named since its start. A running agent
 * never removes a host from its table, so a host that is missing in the first
 * update of a restarted agent is one of which the agent has not heard yet.
 * Without this rule, each restart of its agent would leave the entry without a
 * witness for a key, and the entry would use the share of all other hosts.
 */
function toUnnamed({unnamed, hosts}: EntryView, update: FeedUpdate, sentAt: Milliseconds): EntryView['unnamed'] {
	const since = update.whole ? sentAt : unnamed?.since ?? sentAt;
	const named = new Set(update.hosts.map(({id}) => id));
	const left = [...(update.whole ? hosts.keys() : unnamed?.hosts ?? [])].filter(id => !named.has(id));
	return left.length === 0 ? undefined : {hosts: new Set(left), since};
}

function toAccepted(view: FleetView, {config, whole}: FeedUpdate, {parse, isNewer, onRefusedConfig, onMissingPart}: ApplyOptions): AcceptedConfig | undefined {
	if (!config || config.version.digest === view.accepted?.version.digest) {
		return view.accepted;
	}

	// A restarted agent that has so far heard only from the platform may hold an older document than its entry.
	if (view.accepted && !isNewer(config.version, view.accepted.version)) {
		onRefusedConfig?.(config.version, 'it is older than the one in force');
		return view.accepted;
	}

	const {version, text} = config;
	const sent = new Map(config.parts?.map(part => [part.sha256, part.text]));
	let isPartMissing = false;
	const {find, parts: collected} = collectParts(view.accepted?.parts ?? [], ({sha256}) => sent.get(sha256));
	const parsed = parse(text, part => {
		const found = find(part);
		isPartMissing ||= found === undefined;
		return found;
	});
	if (isPartMissing && !whole) {
		onMissingPart?.(version);
		return view.accepted;
	}

	if (parsed.isErr()) {
		onRefusedConfig?.(version, 'it is not valid for this entry; run the same version as the agent');
		return view.accepted;
	}

	const parts = collected();
	return {
		version, text, config: parsed.value, ...(parts.length > 0 && {parts}),
	};
}

/**
 * Applies an update.
 *
 * @param view - The view so far; it is not changed.
 * @param update - Update from the agent.
 * @param options - How configuration documents are parsed and ordered.
 * @returns The next view, its times on the entry's monotonic clock.
 */
export function applyUpdate(view: EntryView, update: FeedUpdate, options: ApplyOptions): EntryView {
	// The update was sent at this time or later. The time is based on the entry's own
	// echoed clock: an entry that wakes up from a pause to a socket full of old
	// updates must not treat them as fresh.
	const sentAt = update.echoAt + update.echoAgeMs;
	const statuses = update.servers.map(server => toStatus(server, view.servers.get(server.id), sentAt));
	const confirmedAt = update.confirmedAgeMs === undefined ? undefined : sentAt - update.confirmedAgeMs;
	const unnamed = toUnnamed(view, update, sentAt);
	const isForgotten = unnamed !== undefined && sentAt - unnamed.since > unnamedLimitMs;
	const hostsGone = isForgotten ? [...update.hostsGone, ...unnamed.hosts] : update.hostsGone;
	const zones = update.zones ? new Map(update.zones.map(({ageMs, ...summary}) => [summary.zone, {...summary, at: sentAt - ageMs}])) : view.zones;
	return {
		...(zones && {zones}),
		accepted: toAccepted(view, update, options),
		hosts: toMerged<HostStatus>(view.hosts, update.hosts, hostsGone),
		unnamed: isForgotten ? undefined : unnamed,
		servers: toMerged<ServerStatus>(view.servers, statuses, update.serversGone, update.whole),
		platformConfirmedAt: confirmedAt === undefined ? view.platformConfirmedAt : Math.max(confirmedAt, view.platformConfirmedAt ?? -Infinity),
		receivedAt: Math.max(sentAt, view.receivedAt),
	};
}
