/**
 * What one host believes about the load of each backend server now: the last
 * load report, which lags, corrected by what this host itself has sent to and
 * got back from the server since the report's numbers were true.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerEntry} from '../../ports/config.js';
import {type ServerId} from '../../ports/ids.js';
import {type HostLoad} from '../../ports/shared-loads.js';
import {msPerSecond} from '../../ports/units.js';
import {type ServerStatus} from '../../ports/view.js';

export type LoadEstimateOptions = {
	/** Age beyond which a report is not believed any more, milliseconds. */
	staleAfterMs?: Milliseconds;
	/** Prompt tokens a second assumed of a prefill server that never reported. */
	tokensPerSecond?: number;
	/** Tokens a second of one stream assumed of a decode server that never reported. */
	streamTokensPerSecond?: number;
	/** Bytes a second assumed of a link that was never reported. */
	linkBytesPerSecond?: number;
};

export type ServerLoad = {
	slotsTotal: number;
	/** Slots thought to be taken now; may exceed `slotsTotal`. */
	slotsUsed: number;
	/** Prompt tokens thought to be waiting or in work now. */
	backlogTokens: number;
	/** Prompt tokens a second (prefill), or tokens a second of one stream (decode). */
	tokensPerSecond: number;
	linkBytesPerSecond: number;
	/** KV transfers of this host that use the server's link now. */
	transfers: number;
	/** Requests of this host on the server now. */
	own: number;
	/** Prompt tokens of this host that were sent there and are not computed yet. */
	ownPromptTokens: number;
	/** No report, or one too old to believe: the numbers are this host's own alone. */
	isUnknown: boolean;
};

type Change = {at: Milliseconds; slots: number; tokens: number};

type Track = {
	/** Own changes that the last report cannot contain, oldest first. */
	changes: Change[];
	reportAt: Milliseconds;
	/** Sum of `slots` over `changes`. */
	slotsSince: number;
	backlogTokens: number;
	backlogAt: Milliseconds;
	own: number;
	ownTokens: number;
	ownPrefills: number;
	transfers: number;
	fullAt: Milliseconds;
	/** Tokens a second by which the backlog shrinks, as read last. */
	drainPerSecond: number;
};

const defaultStaleAfterMs = 5000;

/**
 * Time for which a server that never reported counts as full after it said so.
 * No report will take it back, and its queue moves on within the time of a few
 * calls: left out for as long as a report counts, one refusal in a burst would
 * take the server away for seconds.
 */
const fullWithoutReportMs = 50;
const defaultTokensPerSecond = 8000;
const defaultStreamTokensPerSecond = 50;
const defaultLinkBytesPerSecond = 1_000_000_000;

/** Changes kept for one server; with more, the oldest are taken to be in the report. */
const maxChanges = 512;

const createTrack = (drainPerSecond: number): Track => ({
	drainPerSecond,
	changes: [],
	reportAt: -Infinity,
	slotsSince: 0,
	backlogTokens: 0,
	backlogAt: -Infinity,
	own: 0,
	ownTokens: 0,
	ownPrefills: 0,
	transfers: 0,
	fullAt: -Infinity,
});

const toRemainingBacklog = (track: Track, now: Milliseconds): number => {
	const elapsedMs = Math.max(0, now - track.backlogAt);
	return elapsedMs === Infinity ? 0 : Math.max(0, track.backlogTokens - (elapsedMs * track.drainPerSecond / msPerSecond));
};

/**
 * Prompt tokens of this host that are surely not done: all it sent and got no
 * result of, less half a request for the one in work. It holds when the
 * server is slower than its report says and the drained backlog reads zero.
 */
const toOwnBacklog = (track: Track): number =>
	track.ownPrefills === 0 ? 0 : track.ownTokens * (1 - (0.5 / track.ownPrefills));

/**
 * Creates the estimate. State grows with the servers this host has used and is
 * bounded for each; {@link LoadEstimate.forget} drops a server.
 *
 * @param options - When reports go stale, and what is assumed without one.
 * @returns Functions that note what this host does and read a server's load.
 *
 * @example
 * const loads = createLoadEstimate();
 * loads.addSlots('d1', 1, 10);
 * loads.read({id: 'd1', slots: 20, ...entry}, undefined, 11).slotsUsed; // 1
 */
export const createLoadEstimate = (options: LoadEstimateOptions = {}) => {
	const staleAfterMs = options.staleAfterMs ?? defaultStaleAfterMs;
	const assumedTokensPerSecond = options.tokensPerSecond ?? defaultTokensPerSecond;
	const assumedStream = options.streamTokensPerSecond ?? defaultStreamTokensPerSecond;
	const assumedLink = options.linkBytesPerSecond ?? defaultLinkBytesPerSecond;
	const tracks = new Map<ServerId, Track>();

	const toTrack = (server: ServerId): Track => {
		const known = tracks.get(server);
		if (known !== undefined) {
			return known;
		}

		const track = createTrack(assumedTokensPerSecond);
		tracks.set(server, track);
		return track;
	};

	/** Adds to the backlog as it stands then; it never falls below nothing. */
	const addTokens = (track: Track, {at, tokens}: Change): void => {
		if (tokens !== 0) {
			track.backlogTokens = Math.max(0, toRemainingBacklog(track, at) + tokens);
			track.backlogAt = at;
		}
	};

	/** Starts again from a new report and replays the own changes that came after it. */
	const applyReport = (track: Track, status: ServerStatus): void => {
		track.reportAt = status.loadAt;
		track.changes = track.changes.filter(change => change.at > status.loadAt);
		track.slotsSince = 0;
		track.backlogTokens = status.load?.queuedTokens ?? 0;
		track.backlogAt = status.loadAt;
		for (const change of track.changes) {
			track.slotsSince += change.slots;
			addTokens(track, change);
		}
	};

	const addChange = (track: Track, change: Change): void => {
		track.changes.push(change);
		track.slotsSince += change.slots;
		if (track.changes.length > maxChanges) {
			const dropped = track.changes.shift();
			track.slotsSince -= dropped?.slots ?? 0;
		}
	};

	/**
	 * @param entry - The server as published.
	 * @param status - What the view says of it, if anything.
	 * @param now - Monotonic milliseconds, on the clock of `status.loadAt`.
	 * @returns The load as believed at `now`.
	 */
	const read = (entry: ServerEntry, status: ServerStatus | undefined, now: Milliseconds): ServerLoad => {
		const track = toTrack(entry.id);
		const report = status?.load;
		const isUnknown = report === undefined || now - (status?.loadAt ?? -Infinity) > staleAfterMs;
		const reportedRate = report?.tokensPerSecond ?? 0;
		const assumedRate = entry.role === 'decode' ? assumedStream : assumedTokensPerSecond;
		const tokensPerSecond = reportedRate > 0 ? reportedRate : assumedRate;
		track.drainPerSecond = tokensPerSecond;
		if (status !== undefined && report !== undefined && status.loadAt > track.reportAt) {
			applyReport(track, status);
		}

		const slotsTotal = report !== undefined && report.slotsTotal > 0 ? report.slotsTotal : entry.slots;
		const corrected = isUnknown ? track.own : Math.max(track.own, report.slotsUsed + track.slotsSince);
		const isFull = track.fullAt > track.reportAt && now - track.fullAt <= (report === undefined ? fullWithoutReportMs : staleAfterMs);
		return {
			slotsTotal,
			slotsUsed: isFull ? Math.max(slotsTotal, corrected) : corrected,
			backlogTokens: Math.max(toRemainingBacklog(track, now), toOwnBacklog(track)),
			tokensPerSecond,
			linkBytesPerSecond: report !== undefined && report.linkBytesPerSecond > 0 ? report.linkBytesPerSecond : assumedLink,
			transfers: track.transfers,
			own: track.own,
			ownPromptTokens: track.ownTokens,
			isUnknown,
		};
	};

	const removePrefill = (server: ServerId, tokens: number): void => {
		const track = toTrack(server);
		track.ownTokens = Math.max(0, track.ownTokens - tokens);
		track.ownPrefills = Math.max(0, track.ownPrefills - 1);
	};

	return {
		read,
		/** Counts requests of this host that come to (positive) or leave (negative) the server. */
		addSlots(server: ServerId, slots: number, now: Milliseconds): void {
			const track = toTrack(server);
			track.own = Math.max(0, track.own + slots);
			addChange(track, {at: now, slots, tokens: 0});
		},
		/** Whether the server itself said that it is full, later than `since`. */
		isFullSince: (server: ServerId, since: Milliseconds): boolean => (tracks.get(server)?.fullAt ?? -Infinity) > since,
		/** A request that held a slot there has ended, so a server that was full is not any more. */
		noteFreed(server: ServerId): void {
			toTrack(server).fullAt = -Infinity;
		},
		/** Counts a prompt sent to a prefill server. */
		addPrefill(server: ServerId, tokens: number, now: Milliseconds): void {
			const track = toTrack(server);
			const change = {at: now, slots: 0, tokens};
			addTokens(track, change);
			track.ownTokens += tokens;
			track.ownPrefills++;
			addChange(track, change);
		},
		/** Takes back a prompt whose prefill is done. */
		removePrefill,
		/**
		 * Takes back a prompt whose prefill ended before it was done: its caller
		 * left, or the server refused or lost it. The last report may count it for
		 * a second more, and the next prompts would be refused for a queue that is
		 * gone. All of it is taken back, since reports count a prompt whole until
		 * it is done; where a part was computed, the backlog is believed that
		 * much too short, until the next report.
		 */
		dropPrefill(server: ServerId, tokens: number, now: Milliseconds): void {
			const change = {at: now, slots: 0, tokens: -tokens};
			removePrefill(server, tokens);
			addTokens(toTrack(server), change);
			addChange(toTrack(server), change);
		},
		/** Counts KV transfers of this host over the server's link. */
		addTransfers(server: ServerId, transfers: number): void {
			const track = toTrack(server);
			track.transfers = Math.max(0, track.transfers + transfers);
		},
		/**
		 * The server itself said that it is full. Without this, every request
		 * until the next report would offer itself there first and be refused.
		 * A later report, or {@link LoadEstimate.noteFreed}, ends it.
		 */
		noteFull(server: ServerId, now: Milliseconds): void {
			toTrack(server).fullAt = now;
		},
		/** Drops what is known of a server that is no longer published. */
		forget(server: ServerId): void {
			tracks.delete(server);
		},
		/** Prompt tokens of this host that were sent to the server and are not computed yet. */
		ownPromptTokens: (server: ServerId): number => tracks.get(server)?.ownTokens ?? 0,
		/** What this host has under way at each server where it has anything. */
		ownLoads: (): HostLoad[] => [...tracks]
			.filter(([, {own, ownTokens}]) => own > 0 || ownTokens > 0)
			.map(([server, {own, ownTokens}]) => ({server, requests: own, promptTokens: ownTokens})),
		/** Servers with state. */
		servers: (): Iterable<ServerId> => tracks.keys(),
	};
};

export type LoadEstimate = ReturnType<typeof createLoadEstimate>;
