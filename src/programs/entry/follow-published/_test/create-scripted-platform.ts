/** A platform in virtual time, whose outages and faults a test controls. */
import {
	errAsync, okAsync, ResultAsync, err, ok, type Result,
} from 'neverthrow';
import {type Milliseconds} from '../../../../ports/clock.js';
import {
	platformTimeoutMs, type PublishedChange, type PublishedEra, type PublishedFailure, type PublishedRead, type PublishedServer, type PublishedSource,
} from '../../../../ports/published.js';
import {type VirtualTime} from './create-virtual-time.js';

export type ScriptedPlatform = {
	source: PublishedSource;
	put: (name: string, leaving?: boolean) => void;
	remove: (name: string) => void;
	publishRules: () => void;
	/** Writes the newest rules again, as they may have been lost. */
	rewriteRules: () => void;
	/** Drops the history: a watch from an earlier revision is refused as `forgotten`. */
	forget: () => void;
	/** Sets the number of changes that an answer to a watch may have; more are `too-large`. */
	limitChanges: (max: number) => void;
	/** Sets how reads are answered from now on; a read that is waiting when the platform goes silent is never answered. */
	setReachability: (path: 'well' | 'refusing' | 'silent') => void;
	/** Breaks off the waiting read; the next read is answered. */
	breakWaitingRead: () => void;
	/** Returns a copy of what is published now. */
	backup: () => PlatformBackup;
	/** Starts a new era from a copy: everything written since is lost, and its revisions are reused. */
	restoreFrom: (copy: PlatformBackup) => void;
	/** Changes the era without losing anything. */
	setEra: (next: PublishedEra) => void;
	/** Answers a read that began before the last restore with the lost content, once the platform is reachable. */
	delayAnswer: () => void;
	/** Sets the time for which an answer with rules arrives; it is long if that is more than none. */
	setTransferMs: (ms: Milliseconds) => void;
	/** Makes the open connection silent for good; the next connection works. */
	hangConnection: () => void;
	reads: () => number;
};

/** Content of the platform at one moment. */
export type PlatformBackup = {
	items: ReadonlyMap<string, PublishedChange>;
	history: ReadonlyArray<{revision: number; change: PublishedChange}>;
	revision: number;
};

/** Time that the platform takes to answer. */
const answerLatencyMs: Milliseconds = 4;

/** Interval at which a waiting read checks for changes. */
const pollMs: Milliseconds = 20;

const unreachable = (message: string, era?: PublishedEra): Result<never, PublishedFailure> => err({kind: 'unreachable', message, era});

function toServer(name: string, leaving: boolean): PublishedServer {
	return {
		name,
		startedAt: 0,
		leaving,
		entry: {
			id: name, name, zone: 'a', url: `http://10.0.0.1:1/${name}`, role: 'plain', pool: 'desk', slots: 4, checksFence: false,
		},
	};
}

/**
 * Creates a platform that publishes nothing yet.
 *
 * @param time - Virtual time in which the platform answers.
 */
export function createScriptedPlatform({clock, sleep}: VirtualTime): ScriptedPlatform {
	let items = new Map<string, PublishedChange>();
	/** Changes lost by the last restore, with the position before it. */
	let lost: PublishedRead | undefined;
	let isLate = false;
	let era = 1;
	let history: Array<{revision: number; change: PublishedChange}> = [];
	let revision = 0;
	let forgotten = 0;
	let version = 0;
	let reads = 0;
	let path: 'well' | 'refusing' | 'silent' = 'well';
	let isConnectionDead = false;
	let cuts = 0;

	function note(change: PublishedChange): void {
		revision++;
		history.push({revision, change});
	}

	/** Makes one read on the open connection; it is answered as soon as `toAnswer` returns something, or fails after its timeout. */
	async function read(waitMs: Milliseconds, signal: AbortSignal, toAnswer: (isOver: boolean) => PublishedRead | undefined): Promise<Result<PublishedRead, PublishedFailure>> {
		reads++;
		const endsAt = clock.now() + waitMs;
		const cutsBefore = cuts;
		const eraBefore = era;
		for (;;) {
			await sleep(answerLatencyMs, signal);
			if (signal.aborted) {
				return unreachable('ended by this process');
			}

			const isAnsweredLate = isLate && lost !== undefined && eraBefore < era && !isConnectionDead;
			if (isAnsweredLate && path === 'well') {
				isLate = false;
				return ok(lost!);
			}

			if (isAnsweredLate && path === 'silent' && clock.now() < endsAt + platformTimeoutMs) {
				continue;
			}

			if (isConnectionDead || path === 'silent') {
				await sleep(endsAt + platformTimeoutMs - clock.now(), signal);
				isConnectionDead = false;
				return unreachable('no answer');
			}

			if (path === 'refusing' || cuts > cutsBefore) {
				return unreachable('refused', path === 'refusing' ? era : undefined);
			}

			const answer = toAnswer(clock.now() >= endsAt);
			if (answer !== undefined) {
				return ok(answer);
			}

			await sleep(Math.min(pollMs, Math.max(0, endsAt - clock.now())), signal);
		}
	}

	function writeRules(): void {
		const change: PublishedChange = {
			kind: 'rules', rules: {
				version, rules: [], pools: [], callers: undefined,
			},
		};
		items.set('', change);
		note(change);
	}

	let transferMs: Milliseconds = 0;

	/** Delays an answer that has rules, as on a slow link. */
	async function transfer(answered: Promise<Result<PublishedRead, PublishedFailure>>, signal: AbortSignal, onLong: () => void): Promise<Result<PublishedRead, PublishedFailure>> {
		const answer = await answered;
		if (transferMs > 0 && answer.isOk() && answer.value.changes.some(({kind}) => kind === 'rules')) {
			onLong();
			await sleep(transferMs, signal);
		}

		return answer;
	}

	let maxChanges = Infinity;
	const findChanges = (after: number): PublishedChange[] => history.filter(({revision: at}) => at > after).map(({revision: at, change}) => ({...change, revision: at}));

	return {
		source: {
			list: signal => new ResultAsync(read(0, signal, () => ({changes: [...items.values()], position: {era, revision}}))),
			watch({revision: after}, waitMs, signal, {onLong = () => undefined} = {}) {
				const isUnknown = () => after < forgotten || after > revision;
				const answered = read(waitMs, signal, isOver => {
					const changes = findChanges(after);
					return isOver || changes.length > 0 || isUnknown() ? {changes, position: {era, revision}} : undefined;
				});
				return new ResultAsync(transfer(answered, signal, onLong))
					.andThen(answer => answer.changes.length > maxChanges ? errAsync<PublishedRead, PublishedFailure>({kind: 'too-large', message: 'more changes than fit'}) : okAsync(answer))
					.andThen(answer => answer.position.era === era && isUnknown() ? errAsync<PublishedRead, PublishedFailure>({kind: 'forgotten', message: 'history gone', era}) : okAsync(answer));
			},
			watchServers(after, waitMs, signal) {
				return new ResultAsync(read(waitMs, signal, isOver => {
					const changes = findChanges(after.revision).filter(({kind}) => kind === 'server' || kind === 'server-gone');
					return isOver || changes.length > 0 ? {changes, position: {era, revision}} : undefined;
				}));
			},
			close: async () => undefined,
		},
		put(name, leaving = false) {
			const change: PublishedChange = {kind: 'server', server: toServer(name, leaving)};
			items.set(name, change);
			note(change);
		},
		remove(name) {
			items.delete(name);
			note({kind: 'server-gone', name});
		},
		publishRules() {
			version++;
			writeRules();
		},
		rewriteRules: writeRules,
		forget() {
			forgotten = revision;
			history = [];
		},
		limitChanges(max) {
			maxChanges = max;
		},
		backup: () => ({items: new Map(items), history: [...history], revision}),
		restoreFrom(copy) {
			lost = {changes: findChanges(copy.revision), position: {era, revision}};
			items = new Map(copy.items);
			history = [...copy.history];
			revision = copy.revision;
			forgotten = Math.min(forgotten, revision);
			era++;
		},
		setEra(next) {
			era = next;
		},
		delayAnswer() {
			isLate = true;
		},
		setReachability(next) {
			path = next;
		},
		breakWaitingRead() {
			cuts++;
		},
		setTransferMs(ms) {
			transferMs = ms;
		},
		hangConnection() {
			isConnectionDead = true;
		},
		reads: () => reads,
	};
}
