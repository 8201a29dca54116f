/**
 * The last lines of a configuration document show that it is complete: they hold
 * the plain end mark or the seal. Both are read from the text and not from the
 * parsed document, because a truncated YAML text often parses.
 */

export type ConfigFormat = 'yaml' | 'json';

export type PlainEnd = {
	kind: 'plain';
	format: ConfigFormat;
	/** The text before the end mark. */
	body: string;
	/** Edition written by hand before the end mark; 0 when there is none. */
	edition: number;
};

export type SealedEnd = {
	kind: 'sealed';
	format: ConfigFormat;
	/** The text before the seal. */
	body: string;
	edition: number;
	/** SHA-256 of the document that this one follows, or `none`. */
	follows: string;
	/** The text that the digest covers: everything before the digest itself. */
	covered: string;
	/** SHA-256 of `covered`, hex, as the document states it. */
	digest: string;
};

export type ConfigEnd = PlainEnd | SealedEnd | {kind: 'missing'; format: ConfigFormat};

const sealedEnds = {
	yaml: /^edition: ([1-9]\d{0,14})\nfollows: (none|[\da-f]{64})\nend: sealed-([\da-f]{64})\n$/m,
	json: /,\n"edition": ([1-9]\d{0,14}),\n"follows": "(none|[\da-f]{64})",\n"end": "sealed-([\da-f]{64})"}\n$/,
} as const;

const plainEnds = {
	yaml: /^(?:edition: ([1-9]\d{0,14}) *\r?\n)?end: (["']?)banyanport\2\s*$/m,
	json: /,\s*(?:"edition"\s*:\s*([1-9]\d{0,14})\s*,\s*)?"end"\s*:\s*"banyanport"\s*}\s*$/,
} as const;

/** More characters than any end has. The patterns search only this much of the text's tail, so that they stay fast on a document of a megabyte. */
const maxEndLength = 1024;

/**
 * Splits a document into its body and its end mark or seal.
 *
 * @param text - The document, YAML or JSON.
 * @returns Fields of the end and the text before it; `missing` when the document is incomplete.
 *
 * @example
 * ```ts
 * splitConfigEnd('zones: []\nend: banyanport\n');
 * // => {kind: 'plain', format: 'yaml', body: 'zones: []\n', edition: 0}
 * ```
 */
export function splitConfigEnd(text: string): ConfigEnd {
	const format = toConfigFormat(text);
	const tailStart = toTailStart(text);
	const tail = text.slice(tailStart);
	const sealed = matchAtEnd(sealedEnds[format], tail);
	if (sealed) {
		const digest = sealed[3]!;
		const end = text.lastIndexOf(digest);
		return {
			kind: 'sealed', format, body: text.slice(0, tailStart + sealed.index), edition: Number(sealed[1]), follows: sealed[2]!, covered: text.slice(0, end), digest,
		};
	}

	const plain = matchAtEnd(plainEnds[format], tail);
	if (plain) {
		return {
			kind: 'plain', format, body: text.slice(0, tailStart + plain.index), edition: Number(plain[1] ?? 0),
		};
	}

	return {kind: 'missing', format};
}

/**
 * Writes a plain end mark after a body.
 *
 * @param body - Text of the document without its end.
 * @param format - Format of the body.
 * @returns The whole document.
 */
export function addPlainEnd(body: string, format: ConfigFormat): string {
	return format === 'json' ? `${body},\n"end": "banyanport"}\n` : `${body}end: banyanport\n`;
}

function toConfigFormat(text: string): ConfigFormat {
	return /^\s*{/.test(text.slice(0, 1024)) ? 'json' : 'yaml';
}

/** The tail starts with a line, so that `^` in the patterns means the start of one. */
function toTailStart(text: string): number {
	if (text.length <= maxEndLength) {
		return 0;
	}

	return text.indexOf('\n', text.length - maxEndLength) + 1 || text.length - maxEndLength;
}

/** With the `m` flag `$` would also match before the last line break; the end of the match says where it stopped. */
function matchAtEnd(pattern: RegExp, tail: string): RegExpExecArray | undefined {
	const match = pattern.exec(tail);
	return match && match.index + match[0].length === tail.length ? match : undefined;
}
