/**
 * Origins of streams as all hosts keep them together. The host on which a stream
 * begins sends its origin to a few keepers, chosen by rendezvous hashing; a host
 * that is asked to continue the stream asks the same keepers. Hosts keep nothing on
 * disk, so what no living host knows is unknown, and such streams don't go on.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {
	type KnownOrigin, type OriginMessage, type OriginRecord, type StreamKey, type StreamOrigin,
} from '../../ports/stream-origins.js';
import {msPerSecond} from '../../ports/units.js';
import {createQuestions} from '../create-questions/index.js';
import {createOriginRecords} from './_lib/create-origin-records.js';

/** Time for an answer; a busy host answers within a few tens of milliseconds. */
const answerTimeoutMs: Milliseconds = 100;

/** Times that a keeper is asked: one message in ten may be lost. */
const maxTries = 2;

/** Bound on records, of some 200 bytes each. */
const defaultMaxRecords = 20_000;

/** Bound on own records that are sent again to restarted keepers. */
const maxOwnRecords = 2000;

/** Records in one message, which must fit into a datagram. */
const maxRecordsOfMessage = 8;

/** Time for which a record is sent again to a keeper that restarts: few streams last longer. */
const resendForMs: Milliseconds = 20 * msPerSecond;

export type StreamOriginsOptions = {
	/** Hosts that keep the record of a key, without this one. */
	pickKeepers: (key: StreamKey, now: Milliseconds) => readonly string[];
	/** Sends a message, which may be lost. */
	send: (message: OriginMessage, to: string) => void;
	maxRecords?: number;
};

export type StreamOriginsTable = {
	/** Records that a stream began, or goes on, on this host, and tells its keepers. */
	note: (record: OriginRecord, now: Milliseconds) => void;
	/** Finds the origin of a stream; settles once, with `undefined` if no keeper that answers knows it. */
	find: (key: StreamKey, now: Milliseconds, settle: (origin: StreamOrigin | undefined) => void) => void;
	receive: (message: OriginMessage, from: string, now: Milliseconds) => void;
	/** Sends a keeper that has just started the records that it lost. */
	noteStarted: (address: string, now: Milliseconds) => void;
	/** Asks again where an answer is overdue, or gives up. */
	tick: (now: Milliseconds) => void;
	/** When the next answer is overdue; `undefined` while none is due. */
	dueAt: () => Milliseconds | undefined;
	/** Number of records. */
	size: () => number;
};

type OwnRecord = {record: OriginRecord; keepers: readonly string[]; notedAt: Milliseconds};

/** Answer of a keeper; a keeper without a record answers too. */
type KeeperAnswer = {known: KnownOrigin | undefined};

/** A search for an origin, which ends with the first record found or with the last answer. */
type Search = {
	key: StreamKey;
	openQuestions: number;
	isSettled: boolean;
	settle: (origin: StreamOrigin | undefined) => void;
};

const toOrigin = (known: KnownOrigin | undefined): StreamOrigin | undefined => known === 'ambiguous' ? undefined : known;

function toBatches(records: readonly OriginRecord[]): ReadonlyArray<readonly OriginRecord[]> {
	const starts = Array.from({length: Math.ceil(records.length / maxRecordsOfMessage)}, (_, i) => i * maxRecordsOfMessage);
	return starts.map(start => records.slice(start, start + maxRecordsOfMessage));
}

/**
 * Creates the origins of one host.
 *
 * @param options - How to choose keepers and to send to them.
 * @returns See {@link StreamOriginsTable}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const origins = createStreamOrigins({pickKeepers: () => ['10.0.0.2:7380'], send});
 * origins.note({key: 'k', origin: {pool: 'letters', softwareVersion: 'v1'}, lifeMs: 30_000}, 0);
 * origins.find('k', 10, origin => console.log(origin?.softwareVersion)); // logs v1
 * ```
 */
export function createStreamOrigins({pickKeepers, send, maxRecords = defaultMaxRecords}: StreamOriginsOptions): StreamOriginsTable {
	const table = createOriginRecords(maxRecords);
	// A keeper that missed questions is asked all the same: it may be the only one that knows.
	const questions = createQuestions<KeeperAnswer>({timeoutMs: answerTimeoutMs, missesToSilence: Infinity, silentForMs: 0});
	/** Records of streams that began or went on here, oldest first. */
	const own = new Map<StreamKey, OwnRecord>();

	function dropOldOwn(now: Milliseconds): void {
		for (const [key, {notedAt}] of own) {
			if (own.size <= maxOwnRecords && now - notedAt < resendForMs) {
				return;
			}

			own.delete(key);
		}
	}

	function settleSearch(search: Search, known: KnownOrigin | undefined): void {
		const isOver = known !== undefined || search.openQuestions === 0;
		if (isOver && !search.isSettled) {
			search.isSettled = true;
			search.settle(toOrigin(known));
		}
	}

	function ask(keeper: string, search: Search, attempt: number, now: Milliseconds): void {
		search.openQuestions++;
		const id = questions.begin(keeper, (answer, endedAt) => {
			search.openQuestions--;
			if (answer === undefined && attempt < maxTries && !search.isSettled) {
				ask(keeper, search, attempt + 1, endedAt);
			} else {
				settleSearch(search, answer?.known);
			}
		}, now);
		send({kind: 'ask', id, key: search.key}, keeper);
	}

	return {
		note(record, now) {
			const keepers = pickKeepers(record.key, now);
			table.add(record, now);
			own.delete(record.key);
			own.set(record.key, {record, keepers, notedAt: now});
			dropOldOwn(now);
			for (const keeper of keepers) {
				send({kind: 'records', records: [record]}, keeper);
			}
		},
		find(key, now, settle) {
			const search: Search = {
				key, openQuestions: 0, isSettled: false, settle,
			};
			const known = table.toKnown(key, now);
			if (known === undefined) {
				for (const keeper of pickKeepers(key, now)) {
					ask(keeper, search, 1, now);
				}
			}

			settleSearch(search, known);
		},
		receive(message, from, now) {
			switch (message.kind) {
				case 'records': {
					for (const record of message.records) {
						table.add(record, now);
					}

					break;
				}

				case 'ask': {
					send({kind: 'answer', id: message.id, known: table.toKnown(message.key, now)}, from);
					break;
				}

				case 'answer': {
					questions.answer(message.id, {known: message.known}, now);
					break;
				}
			}
		},
		noteStarted(address, now) {
			dropOldOwn(now);
			const lost = [...own.values()].filter(({keepers}) => keepers.includes(address)).map(({record}) => record);
			for (const batch of toBatches(lost)) {
				send({kind: 'records', records: batch}, address);
			}
		},
		tick: questions.tick,
		dueAt: questions.dueAt,
		size: table.size,
	};
}
