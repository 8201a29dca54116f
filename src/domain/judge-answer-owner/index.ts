/**
 * Decides whether an answer belongs to the call that read it.
 *
 * A server may send an answer once more in place of the next one on the connection.
 * The order of answers on a connection therefore proves nothing, and what an answer
 * shows of its call decides instead.
 */
import {type AnswerMarks} from '../../ports/server-calls.js';

export type CallIdentity =
	/** `isShared`: whether control calls use the same connections. */
	| {kind: 'run'; name: string; isShared: boolean}
	/** Any other call that has a name which answers repeat, such as a prefill. */
	| {kind: 'named'; name: string}
	/** A call that manages what a server holds, and has no name. */
	| {kind: 'control'};

export type AnswerOwner =
	/** `isReusable`: whether the connection may be used again. A copy of an answer without a name would pass for the answer to the next call. */
	| {kind: 'own'; isReusable: boolean}
	/** The call's own answer is still due, so its connection is to be closed, and whether the call was carried out is unknown. */
	| {kind: 'foreign'; reason: string};

const toForeign = (reason: string): AnswerOwner => ({kind: 'foreign', reason});

/** Whether an answer that names no request is true for the call that read it, even if it was sent for another one. */
function isTrueUnnamed(call: Exclude<CallIdentity, {kind: 'control'}>, {kind}: AnswerMarks): boolean {
	// The same server is at the other end for each call on a connection.
	if (kind === 'misdirected') {
		return true;
	}

	// Only of runs are callers told that they were refused, and no earlier refusal was left on a connection that carries runs alone.
	return kind === 'refusal' && (call.kind === 'named' || !call.isShared);
}

/**
 * Decides whether an answer belongs to a call.
 *
 * An answer has to name its call, and the success of a run has to be sealed. A
 * refusal that names none counts only where it can't be a copy of an earlier one, as
 * the connection is closed after each of them.
 *
 * @param call - The call that read the answer. No earlier call on its connection may have had the same name.
 * @param marks - What the answer shows of its call; `undefined` where answers show nothing.
 * @returns The owner; an answer without marks counts as the call's own.
 *
 * @example
 * ```ts
 * judgeAnswerOwner({kind: 'run', name: 'r1', isShared: false}, {kind: 'success', name: 'r2', isSealed: true});
 * // => {kind: 'foreign', reason: 'it names another request'}
 * ```
 */
export function judgeAnswerOwner(call: CallIdentity, marks: AnswerMarks | undefined): AnswerOwner {
	if (marks === undefined) {
		return {kind: 'own', isReusable: true};
	}

	if (call.kind === 'control') {
		return marks.name === undefined ? {kind: 'own', isReusable: true} : toForeign('it names a request');
	}

	if (marks.name === undefined) {
		return isTrueUnnamed(call, marks) ? {kind: 'own', isReusable: false} : toForeign('it names no request');
	}

	if (marks.name !== call.name) {
		return toForeign('it names another request');
	}

	const needsSeal = call.kind === 'run' && marks.kind === 'success';
	return needsSeal && !marks.isSealed ? toForeign('it is a success without a seal') : {kind: 'own', isReusable: true};
}
