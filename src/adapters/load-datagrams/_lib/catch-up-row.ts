/** The row by which a message asks for all that a host knows, or is a part of the answer. */
import * as v from 'valibot';
import {knowledgeStates, type CatchUpNote} from '../../../ports/catch-up.js';

/** Maximum number of messages of an answer, so that a malformed one can't hold a host up. */
const maxParts = 256;

const id = v.pipe(v.number(), v.integer(), v.minValue(0));
const position = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(maxParts));

/** The number of the question; in an answer also its position, the number of messages, and how complete the sender's knowledge is. */
export const catchUpSchema = v.union([v.tuple([id]), v.tuple([id, position, position, v.picklist(knowledgeStates)])]);

export type CatchUpRow = v.InferOutput<typeof catchUpSchema>;

/**
 * @param note - The question, or the mark of an answer.
 * @returns Its row.
 */
export const toCatchUpRow = (note: CatchUpNote): CatchUpRow => note.kind === 'ask' ? [note.id] : [note.id, note.part, note.parts, note.knowledge];

/**
 * @param row - Row of a message.
 * @returns The question, or the mark of an answer.
 */
export function fromCatchUpRow(row: CatchUpRow): CatchUpNote {
	if (row.length === 1) {
		return {kind: 'ask', id: row[0]};
	}

	const [question, part, parts, knowledge] = row;
	return {
		kind: 'answer', id: question, part, parts, knowledge,
	};
}
