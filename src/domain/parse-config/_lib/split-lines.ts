/** Takes a JSON document apart whose long sections have one entry on each line. */
import {type LongSection} from './document.js';

export type SplitText = {
	/** Lines of entries, each ending in a comma. */
	entries: Readonly<Record<LongSection, readonly string[]>>;
	/** The rest of the document, its long sections empty. */
	frame: string;
};

const headers: Readonly<Record<string, LongSection>> = {
	'"hosts": [': 'hosts',
	'"servers": [': 'servers',
	'"rules": [': 'rules',
};

/**
 * Splits a document. It looks at lines alone: that each of them is one entry is
 * for the caller to make sure.
 *
 * @param text - A document.
 * @returns Its lines, none for a section that it has not; or `undefined` for one that is written in another way.
 */
export function splitLines(text: string): SplitText | undefined {
	const lines = text.split('\n');
	const entries: Partial<Record<LongSection, readonly string[]>> = {};
	const frame: string[] = [];
	let i = 0;
	while (i < lines.length) {
		const line = lines[i++]!;
		frame.push(line);
		const section = headers[line];
		if (section === undefined) {
			continue;
		}

		const start = i;
		while (lines[i]?.startsWith('{')) {
			i++;
		}

		const found = toEntries(lines.slice(start, i));
		if (entries[section] !== undefined || found === undefined || lines[i]?.startsWith(']') !== true) {
			return undefined;
		}

		entries[section] = found;
	}

	const {hosts = [], servers = [], rules = []} = entries;
	return {entries: {hosts, servers, rules}, frame: frame.join('\n')};
}

function toEntries(lines: readonly string[]): readonly string[] | undefined {
	const last = lines.at(-1);
	if (last === undefined) {
		return undefined;
	}

	const entries = [...lines.slice(0, -1), `${last},`];
	return entries.every(entry => entry.endsWith('},')) ? entries : undefined;
}
