/** Answers hosts that ask for all that this host knows. */
import {maxDatagramBytes, splitLoadMessage} from '../../../../adapters/load-datagrams/index.js';
import {type CrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {createTokenBucket} from '../../../../domain/create-token-bucket/index.js';
import {type Knowledge} from '../../../../ports/catch-up.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type CrashReport} from '../../../../ports/crash-reports.js';
import {type BucketRate} from '../../../../ports/quotas.js';
import {type LoadMessage} from '../../../../ports/shared-loads.js';
import {bytesPerKibibyte} from '../../../../ports/units.js';

/** Maximum number of messages of an answer. */
const maxMessages = 16;

/** Bytes a second for answers beyond their first message, as hundreds of hosts may start at the same moment. */
const rate: BucketRate = {perSecond: 4 * bytesPerKibibyte, burst: 64 * bytesPerKibibyte};

/** Stands for the position and the number of messages until they are known; no row of them is longer. */
const longest = 255;

export type CatchUpAnswersOptions = {
	/** Requests suspected of crashing servers. */
	suspects: CrashSuspects;
	/** The same for parts of prompts. */
	partSuspects: CrashSuspects;
	/** How complete this host's own knowledge is. */
	toKnowledge: (now: Milliseconds) => Knowledge;
};

/** Content of a message besides what every message has. */
export type AnswerContent = Pick<LoadMessage, 'crashes' | 'partCrashes' | 'catchUp'>;

export type CatchUpAnswers = (id: number, toMessage: (content: AnswerContent) => LoadMessage, now: Milliseconds) => readonly LoadMessage[];

/** Orders reports by the number of their crashes: what is refused comes first, and single crashes last. */
const byCrashes = (reports: readonly CrashReport[]): readonly CrashReport[] => reports.toSorted((a, b) => b.crashes.length - a.crashes.length);

/**
 * Creates the answers of one host.
 *
 * @param options - See {@link CatchUpAnswersOptions}.
 * @returns A function that returns the messages that answer a question, made by `toMessage`, which adds what every message has.
 */
export function createCatchUpAnswers({suspects, partSuspects, toKnowledge}: CatchUpAnswersOptions): CatchUpAnswers {
	const bucket = createTokenBucket(rate.burst, 0);
	return (id, toMessage, now) => {
		const knowledge = toKnowledge(now);
		const whole = toMessage({
			crashes: byCrashes(suspects.listReports(now)),
			partCrashes: byCrashes(partSuspects.listReports(now)),
			catchUp: {
				kind: 'answer', id, part: longest, parts: longest, knowledge,
			},
		});
		const affordable = 1 + Math.max(0, Math.floor(bucket.level(rate, now) / maxDatagramBytes));
		const all = splitLoadMessage(whole).slice(0, maxMessages);
		const messages = all.slice(0, affordable);
		bucket.spend((messages.length - 1) * maxDatagramBytes, rate, now);
		return messages.map((message, part) => ({
			...message, catchUp: {
				kind: 'answer', id, part, parts: all.length, knowledge,
			},
		}));
	};
}
