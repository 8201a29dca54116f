/** A platform in virtual time that is cut off, silent or refusing when the test says so. */
import {
	errAsync, okAsync, ResultAsync, err, ok, type Result,
} from 'neverthrow';
import {type Milliseconds} from '../../../../ports/clock.js';
import {
	answerLimitMs, type PublishedChange, type PublishedFailure, type PublishedRead, type PublishedServer, type PublishedSource,
} from '../../../../ports/published.js';
import {type VirtualTime} from './create-virtual-time.js';

export type ScriptedPlatform = {
	source: PublishedSource;
	put: (name: string, leaving?: boolean) => void;
	remove: (name: string) => void;
	publishRules: () => void;
	/** Nothing of before is told to watches any more. */
	forget: () => void;
	/** What becomes of reads from now on; a read that waits when they go silent is never answered. */
	setPath: (path: 'well' | 'refusing' | 'silent') => void;
	/** Breaks off the read that waits; the next one is answered. */
	cutWaiting: () => void;
	/** The open connection goes silent for good; the next one works. */
	silenceConnection: () => void;
	reads: () => number;
};

/** How long the platform takes for an answer. */
const answerMs: Milliseconds = 4;

/** Between two looks at what a waiting read could be answered with. */
const lookMs: Milliseconds = 20;

const unreachable = (message: string): Result<never, PublishedFailure> => err({kind: 'unreachable', message});

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
 * @param time - In which it answers.
 */
export function createScriptedPlatform({clock, sleep}: VirtualTime): ScriptedPlatform {
	const items = new Map<string, PublishedChange>();
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

	/** One read on the open connection: answered as soon as `toAnswer` has something, or given up at its limit. */
	async function read(waitMs: Milliseconds, signal: AbortSignal, toAnswer: (isOver: boolean) => PublishedRead | undefined): Promise<Result<PublishedRead, PublishedFailure>> {
		reads++;
		const endsAt = clock.now() + waitMs;
		const cutsBefore = cuts;
		for (;;) {
			await sleep(answerMs, signal);
			if (signal.aborted) {
				return unreachable('ended by this process');
			}

			if (isConnectionDead || path === 'silent') {
				await sleep(endsAt + answerLimitMs - clock.now(), signal);
				isConnectionDead = false;
				return unreachable('no answer');
			}

			if (path === 'refusing' || cuts > cutsBefore) {
				return unreachable('refused');
			}

			const answer = toAnswer(clock.now() >= endsAt);
			if (answer !== undefined) {
				return ok(answer);
			}

			await sleep(Math.min(lookMs, Math.max(0, endsAt - clock.now())), signal);
		}
	}

	const findChanges = (after: number): PublishedChange[] => history.filter(({revision: at}) => at > after).map(({change}) => change);

	return {
		source: {
			list: signal => new ResultAsync(read(0, signal, () => ({changes: [...items.values()], revision}))),
			watch(after, waitMs, signal) {
				const watched = new ResultAsync(read(waitMs, signal, isOver => {
					const changes = findChanges(after);
					return isOver || changes.length > 0 || after < forgotten ? {changes, revision} : undefined;
				}));
				return watched.andThen(answer => after < forgotten ? errAsync<PublishedRead, PublishedFailure>({kind: 'forgotten', message: 'history gone'}) : okAsync(answer));
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
			const change: PublishedChange = {
				kind: 'rules', rules: {
					version, rules: [], pools: [], callers: undefined,
				},
			};
			items.set('', change);
			note(change);
		},
		forget() {
			forgotten = revision;
			history = [];
		},
		setPath(next) {
			path = next;
		},
		cutWaiting() {
			cuts++;
		},
		silenceConnection() {
			isConnectionDead = true;
		},
		reads: () => reads,
	};
}
