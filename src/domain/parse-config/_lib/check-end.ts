/** Checks the end mark of a document, and the keys that belong to the end. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {splitConfigEnd} from '../../../_lib/split-config-end/index.js';
import {type FaultSink} from './faults.js';

/**
 * Adds faults of the end mark. The end mark is looked for in the text itself,
 * since a parser would also accept it earlier in the document, before content that
 * was cut off.
 *
 * @param data - The document's plain values.
 * @param text - The document.
 * @param faults - Where faults go.
 */
export function addEndFaults(data: unknown, text: string, faults: FaultSink): void {
	if (!isRecord(data)) {
		return;
	}

	const end = splitConfigEnd(text);
	if (end.kind === 'missing') {
		const last = end.format === 'json' ? 'write "end": "banyanport" as the last key, followed by the closing brace alone' : 'write "end: banyanport" as the last line, alone and not indented';
		faults.add('end' in data ? ['end'] : [], 'the document does not end with its end mark, so part of it may be missing', last);
		return;
	}

	if ((data.edition ?? 0) !== end.edition) {
		faults.add(['edition'], 'the edition is not directly before the end mark', 'move it to the line before "end"', 'key');
	}

	if (end.kind === 'plain' && data.follows !== undefined) {
		faults.add(['follows'], '"follows" is allowed in sealed documents only', 'leave "follows" out, or seal the document with "banyanport seal"', 'key');
	}
}
