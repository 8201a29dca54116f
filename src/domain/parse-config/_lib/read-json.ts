/** Reads JSON without the YAML parser. */

export type JsonReading = {
	/** `other` for a text that does not start as JSON. */
	kind: 'sound' | 'broken' | 'other';
	data: unknown;
	/** Why it is broken. */
	problem: string;
};

/** A key with its colon, or any other string; strings are matched whole, so that no colon inside of one counts. */
const jsonString = /"(?:[^"\\]|\\.)*"\s*(:?)/g;

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

function countWrittenKeys(text: string): number {
	let keys = 0;
	for (const match of text.matchAll(jsonString)) {
		keys += match[1] === ':' ? 1 : 0;
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
