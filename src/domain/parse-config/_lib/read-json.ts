/** Reads JSON without the YAML parser. */

export type JsonReading = {
	/** `other` for a text that does not start as JSON. */
	kind: 'sound' | 'broken' | 'other';
	data: unknown;
	/** Why it is broken. */
	problem: string;
};

/**
 * Reads JSON. `JSON.parse` drops all but the last of equal keys without a word,
 * so a document with a rule list pasted twice would lose one; the count of keys
 * tells.
 *
 * @param text - Any text.
 * @returns Plain values, or what is broken.
 */
export function readJson(text: string): JsonReading {
	if (!/^\s*{/.test(text)) {
		return {kind: 'other', data: undefined, problem: ''};
	}

	try {
		const data: unknown = JSON.parse(text);
		return countKeys(data) === countWrittenKeys(text)
			? {kind: 'sound', data, problem: ''}
			: {kind: 'broken', data: undefined, problem: 'a key stands twice in one map'};
	} catch (error) {
		return {kind: 'broken', data: undefined, problem: error instanceof Error ? error.message : String(error)};
	}
}

const [quote, backslash, colon] = Array.from(String.raw`"\:`, character => character.codePointAt(0));

/** Counts keys in sound JSON, where each colon outside of strings follows one. */
function countWrittenKeys(text: string): number {
	let keys = 0;
	let isInString = false;
	for (let i = 0; i < text.length; i++) {
		const code = text.codePointAt(i);
		if (code === quote) {
			isInString = !isInString;
		} else if (code === backslash) {
			// Only strings have backslashes; the character behind one may be a quote.
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
