/** Questions to other hosts by messages that may be lost: each ends with its answer or after a timeout. */
import {type Milliseconds} from '../../ports/clock.js';

export type QuestionsOptions = {
	/** Time for an answer. */
	timeoutMs: Milliseconds;
	/** Unanswered questions in a row after which a host counts as silent. */
	missesToSilence: number;
	/** Time for which a silent host is not asked, unless it is heard before. */
	silentForMs: Milliseconds;
};

/** Called with the answer, or with `undefined` after the timeout. */
export type EndQuestion<Answer> = (answer: Answer | undefined, now: Milliseconds) => void;

export type Questions<Answer> = {
	/** Begins a question and returns its number, which the message carries. */
	begin: (to: string, end: EndQuestion<Answer>, now: Milliseconds) => number;
	/** Ends a question with its answer; an answer after the timeout is ignored. */
	answer: (id: number, answer: Answer, now: Milliseconds) => void;
	/** Records that a message of a host arrived. */
	noteHeard: (address: string) => void;
	isSilent: (address: string, now: Milliseconds) => boolean;
	/** Ends the questions whose time is over. */
	tick: (now: Milliseconds) => void;
	/** When the next question's time is over; `undefined` while none is open. */
	dueAt: () => Milliseconds | undefined;
};

/**
 * Creates the open questions of one host.
 *
 * @param options - Timeout, and when hosts count as silent.
 * @returns See {@link Questions}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const questions = createQuestions<boolean>({timeoutMs: 100, missesToSilence: 2, silentForMs: 3000});
 * const id = questions.begin('10.0.0.2:7380', answer => console.log(answer), 0);
 * questions.answer(id, true, 3); // logs true
 * ```
 */
export function createQuestions<Answer>({timeoutMs, missesToSilence, silentForMs}: QuestionsOptions): Questions<Answer> {
	/** In the order in which their time is over, as all have the same timeout. */
	const open = new Map<number, {to: string; end: EndQuestion<Answer>; dueAt: Milliseconds}>();
	const misses = new Map<string, {count: number; silentUntil: Milliseconds}>();
	let lastId = 0;

	function noteMiss(address: string, now: Milliseconds): void {
		const count = (misses.get(address)?.count ?? 0) + 1;
		misses.set(address, {count, silentUntil: count >= missesToSilence ? now + silentForMs : -Infinity});
	}

	return {
		begin(to, end, now) {
			lastId++;
			open.set(lastId, {to, end, dueAt: now + timeoutMs});
			return lastId;
		},
		answer(id, answer, now) {
			const question = open.get(id);
			open.delete(id);
			question?.end(answer, now);
		},
		noteHeard(address) {
			misses.delete(address);
		},
		isSilent: (address, now) => now < (misses.get(address)?.silentUntil ?? -Infinity),
		tick(now) {
			for (const [id, {to, end, dueAt}] of open) {
				if (dueAt > now) {
					return;
				}

				open.delete(id);
				noteMiss(to, now);
				end(undefined, now);
			}
		},
		dueAt: () => open.values().next().value?.dueAt,
	};
}
