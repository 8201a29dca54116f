/** Takes a document in parts apart by lines, as `splitLines` does with one in a file. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {type LongSection} from './document.js';
import {createFaultSink} from './faults.js';
import {findDeepNesting} from './find-deep-nesting.js';
import {addPartFaults, longSections, type PartText} from './join-parts.js';
import {readJson} from './read-json.js';
import {splitLines, type SplitText} from './split-lines.js';

export type SplitDocument = SplitText & {
	/** Lines of each part by the part's digest; `undefined` for a document in one file. */
	parts: ReadonlyMap<string, SplitText> | undefined;
};

/**
 * Puts the lines of root and parts together.
 *
 * @param root - Lines of the root; its frame becomes that of the whole.
 * @param parts - The parts in their order; `undefined` for a document in one file.
 * @param toLines - Takes one part apart.
 * @returns The lines of the whole, or `undefined` when a part is written in another way.
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
 * Takes a part apart that was not read before.
 *
 * @param text - The part.
 * @returns Its lines, or `undefined` where only a full reading can tell whether it is sound.
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
