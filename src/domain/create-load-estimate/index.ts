/**
 * Estimates the current load of each backend server: the last load report, which
 * lags, corrected by the requests that this host has sent to the server or finished
 * there since the report was taken.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerEntry} from '../../ports/config.js';
import {type ServerId} from '../../ports/ids.js';
import {type HostLoad} from '../../ports/shared-loads.js';
import {msPerSecond} from '../../ports/units.js';
import {type ServerStatus} from '../../ports/view.js';

export type LoadEstimateOptions = {
	/** Age above which a report is stale, milliseconds. */
	staleAfterMs?: Milliseconds;
	/** Prompt tokens per second assumed for a prefill server that has never reported. */
	tokensPerSecond?: number;
	/** Tokens per second of one stream assumed for a decode server that has never reported. */
	streamTokensPerSecond?: number;
	/** Bytes per second assumed for a link that was never reported. */
	linkBytesPerSecond?: number;
};

export type ServerLoad = {
	slotsTotal: number;
	/** Estimated number of slots in use; may exceed `slotsTotal`. */
	slotsUsed: number;
	/** Estimated number of prompt tokens that are queued or being computed. */
	backlogTokens: number;
	/** Prompt tokens per second (prefill), or tokens per second of one stream (decode). */
	tokensPerSecond: number;
	linkBytesPerSecond: number;
	/** Number of this host's KV transfers on the server's link. */
	transfers: number;
	/** Number of this host's requests on the server. */
	own: number;
	/** Prompt tokens that this host has sent to the server and that are not computed yet. */
	ownPromptTokens: number;
	/** Whether there is no report or a stale one, so that the numbers count only this host's requests. */
	isUnknown: boolean;
};

type Change = {at: Milliseconds; slots: number; tokens: number};

type Track = {
	/** This host's changes since the last report, oldest first. */
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
	/** Rate at which the backlog drains, as last read; tokens per second. */
	drainPerSecond: number;
};

const defaultStaleAfterMs = 5000;

/**
 * Time for which a server without reports counts as full after a refusal,
 * milliseconds. No report can correct the state, and the server's queue moves on
 * within a few calls; with the stale age of reports instead, one refusal in a burst
 * would exclude the server for seconds.
 */
const fullWithoutReportMs = 50;
const defaultTokensPerSecond = 8000;
const defaultStreamTokensPerSecond = 50;
const defaultLinkBytesPerSecond = 1_000_000_000;

/** Maximum number of changes kept per server; older ones are assumed to be in the report. */
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
 * Lower bound of the backlog: the prompt tokens of this host without a result yet,
 * less half a request for the one being computed. The bound matters when the server
 * is slower than its report says, so that the estimated backlog has drained to zero.
 */
const toOwnBacklog = (track: Track): number =>
	track.ownPrefills === 0 ? 0 : track.ownTokens * (1 - (0.5 / track.ownPrefills));

/**
 * Creates the estimate of one host. It keeps bounded state for each server that the
 * host has used; {@link LoadEstimate.forget} drops a server.
 *
 * @param options - Stale age of reports, and assumptions without a report.
 * @returns Functions that record this host's requests, and that read a server's load.
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

	/** Adds tokens to the backlog that is left at the time of the change; the result is never negative. */
	const addTokens = (track: Track, {at, tokens}: Change): void => {
		if (tokens !== 0) {
			track.backlogTokens = Math.max(0, toRemainingBacklog(track, at) + tokens);
			track.backlogAt = at;
		}
	};

	/** Starts from a new report and replays this host's later changes. */
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
	 * @param entry - The published server.
	 * @param status - Its status in the view, if any.
	 * @param now - Monotonic milliseconds, on the clock of `status.loadAt`.
	 * @returns The estimated load at `now`.
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
		/** Counts requests of this host that start (positive) or end (negative) on the server. */
		addSlots(server: ServerId, slots: number, now: Milliseconds): void {
			const track = toTrack(server);
			track.own = Math.max(0, track.own + slots);
			addChange(track, {at: now, slots, tokens: 0});
		},
		/** Whether the server has refused as full after `since`. */
		isFullSince: (server: ServerId, since: Milliseconds): boolean => (tracks.get(server)?.fullAt ?? -Infinity) > since,
		/** Records that a request that held a slot has ended, so that the server no longer counts as full. */
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
		/** Removes a prompt whose prefill is done. */
		removePrefill,
		/**
		 * Removes a prompt whose prefill ended early, because the caller left or the
		 * server refused or lost the prompt. The last report may still include the
		 * prompt for up to a second; without this correction the next prompts would be
		 * refused for a queue that no longer exists. The whole prompt is subtracted,
		 * since reports count a prompt in full until it is done; if part of it was
		 * already computed, the estimate is too low by that part until the next report.
		 */
		dropPrefill(server: ServerId, tokens: number, now: Milliseconds): void {
			const change = {at: now, slots: 0, tokens: -tokens};
			removePrefill(server, tokens);
			addTokens(toTrack(server), change);
			addChange(toTrack(server), change);
		},
		/** Counts KV transfers of this host that start (positive) or end (negative) on the server's link. */
		addTransfers(server: ServerId, transfers: number): void {
			const track = toTrack(server);
			track.transfers = Math.max(0, track.transfers + transfers);
		},
		/**
		 * Records that the server refused as full. Without this, every request until
		 * the next report would try the server first and be refused. The state ends
		 * with a later report or with {@link LoadEstimate.noteFreed}.
		 */
		noteFull(server: ServerId, now: Milliseconds): void {
			toTrack(server).fullAt = now;
		},
		/** Drops the state of a server that is no longer published. */
		forget(server: ServerId): void {
			tracks.delete(server);
		},
		/** Prompt tokens that this host has sent to the server and that are not computed yet. */
		ownPromptTokens: (server: ServerId): number => tracks.get(server)?.ownTokens ?? 0,
		/** In-flight load of this host at each server where it has any. */
		ownLoads: (): HostLoad[] => [...tracks]
			.filter(([, {own, ownTokens}]) => own > 0 || ownTokens > 0)
			.map(([server, {own, ownTokens}]) => ({server, requests: own, promptTokens: ownTokens})),
		/** Servers with state. */
		servers: (): Iterable<ServerId> => tracks.keys(),
	};
};

export type LoadEstimate = ReturnType<typeof createLoadEstimate>;
