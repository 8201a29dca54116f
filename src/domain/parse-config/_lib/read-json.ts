/** Reads JSON without the YAML parser. */

export type JsonReading = {
	/** `other` for a text that does not start like a JSON object. */
	kind: 'sound' | 'broken' | 'other';
	data: unknown;
	/** Why the JSON is broken; empty otherwise. */
	problem: string;
};

/**
 * Reads JSON. `JSON.parse` silently keeps only the last of several equal keys, so
 * a document into which a rule list was pasted twice would lose one of the lists.
 * Comparing the number of keys in the text with that of the parsed value detects
 * this.
 *
 * @param text - Any text.
 * @returns Plain values, or why the text is broken.
 */
export function readJson(text: string): JsonReading {
	if (!/^\s*{/.test(text)) {
		return {kind: 'other', data: undefined, problem: ''};
	}

	try {
		const data: unknown = JSON.parse(text);
		return countKeys(data) === countWrittenKeys(text)
			? {kind: 'sound', data, problem: ''}
			: {kind: 'broken', data: undefined, problem: 'a key appears twice in one map'};
	} catch (error) {
		return {kind: 'broken', data: undefined, problem: error instanceof Error ? error.message : String(error)};
	}
}

const [quote, backslash, colon] = Array.from(String.raw`"\:`, character => character.codePointAt(0));

/** Counts the keys in the text of valid JSON, where each colon outside of a string follows a key. */
function countWrittenKeys(text: string): number {
	let keys = 0;
	let isInString = false;
	for (let i = 0; i < text.length; i++) {
		const code = text.codePointAt(i);
		if (code === quote) {
			isInString = !isInString;
		} else if (code === backslash) {
			// Backslashes occur in strings only. The escaped character may be a quote, so skip it.
			i++;
		} else if (code === colon && !isInString) {
			keys++;
		}
	}

	return keys;
}

function countKeys(value: unknown): number {
	if (typeof value !== 'object' || value === null) {
		return 0;
	}

	const items: unknown[] = Object.values(value);
	const own = Array.isArray(value) ? 0 : items.length;
	return items.reduce((sum: number, item) => sum + countKeys(item), own);
}
