/** Splits a JSON document whose long sections have one entry per line. */
import {type LongSection} from './document.js';

export type SplitText = {
	/** Lines of the entries by section, each ending with a comma. */
	entries: Readonly<Record<LongSection, readonly string[]>>;
	/** The document with its long sections empty. */
	frame: string;
};

const headers: Readonly<Record<string, LongSection>> = {
	'"hosts": [': 'hosts',
	'"servers": [': 'servers',
	'"rules": [': 'rules',
};

/**
 * Splits a document. Only line starts and ends are checked: callers must make sure
 * that each line is one entry.
 *
 * @param text - A document.
 * @returns The lines, none for a section that the document lacks; `undefined` when the document is laid out in another way.
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
