/** Splits a document in parts by lines, as `splitLines` does with a document in one file. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {type LongSection} from './document.js';
import {createFaultSink} from './faults.js';
import {findDeepNesting} from './find-deep-nesting.js';
import {addPartFaults, longSections, type PartText} from './join-parts.js';
import {readJson} from './read-json.js';
import {splitLines, type SplitText} from './split-lines.js';

export type SplitDocument = SplitText & {
	/** Lines of each part, by digest of the part; `undefined` for a document in one file. */
	parts: ReadonlyMap<string, SplitText> | undefined;
};

/**
 * Joins the lines of root and parts.
 *
 * @param root - Lines of the root, whose frame becomes the frame of the result.
 * @param parts - The parts in their order; `undefined` for a document in one file.
 * @param toLines - Splits one part.
 * @returns The lines of the whole document; `undefined` when a part is laid out in another way.
 */
export function splitDocument(root: SplitText, parts: readonly PartText[] | undefined, toLines: (part: PartText) => SplitText | undefined): SplitDocument | undefined {
	if (!parts) {
		return {...root, parts};
	}

	const split = parts.map(part => toLines(part));
	if (!split.every(lines => lines !== undefined)) {
		return undefined;
	}

	const join = (section: LongSection) => [...split, root].flatMap(lines => lines.entries[section]);
	const entries = {hosts: join('hosts'), servers: join('servers'), rules: join('rules')};
	return {entries, frame: root.frame, parts: new Map(parts.map(({named}, i) => [named.sha256, split[i]!]))};
}

/**
 * Splits and checks a part that was not read before.
 *
 * @param text - The part.
 * @returns The lines of the part; `undefined` when a full reading is needed to tell whether the part is valid.
 */
export function splitNewPart(text: string): SplitText | undefined {
	const lines = findDeepNesting(text) ? undefined : splitLines(text);
	const frame = lines && readJson(lines.frame);
	if (frame?.kind !== 'sound' || !isRecord(frame.data)) {
		return undefined;
	}

	const faults = createFaultSink();
	addPartFaults(frame.data, text, [], faults);
	const {data} = frame;
	const isTaken = longSections.every(section => data[section] === undefined || (data[section] as readonly unknown[]).length === 0);
	return isTaken && faults.list().length === 0 ? lines : undefined;
}
