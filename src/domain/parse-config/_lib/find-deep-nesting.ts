/** Bounds the nesting depth of a text before a parser sees it. */
import {type Place, type SyntaxFault} from './place.js';

/** Allowed depth of brackets; a configuration document needs six levels. */
const maxBracketDepth = 64;

/** Allowed number of blanks, dashes, colons and question marks at the start of a line, each of which may open a level in YAML. */
const maxIndentColumns = 128;

const [openBracket, openBrace, closeBracket, closeBrace] = Array.from('[{]}', bracket => bracket.codePointAt(0));

const wideIndent = new RegExp(`^[ ?:-]{${maxIndentColumns + 1}}`, 'm');

/**
 * Finds the first place at which a text nests too deeply.
 *
 * The YAML parser recurses once per level. A few hundred levels overflow the
 * stack, and Node ends the whole process when the overflow happens while it
 * compiles a regular expression: one published document would take down every
 * host. Brackets are counted everywhere, also in strings and comments. That needs
 * no parser, and the limit is still generous for documents of six levels.
 *
 * @param text - Any text.
 * @returns The fault with its place; `undefined` when the text does not nest too deeply.
 */
export function findDeepNesting(text: string): SyntaxFault | undefined {
	const remedy = `nest at most ${maxBracketDepth} levels`;
	const indent = wideIndent.exec(text);
	if (indent) {
		return {...toTextPlace(text, indent.index), problem: `a line is indented by more than ${maxIndentColumns} columns`, remedy};
	}

	let depth = 0;
	for (let i = 0; i < text.length; i++) {
		const code = text.codePointAt(i);
		if (code === openBracket || code === openBrace) {
			depth++;
		} else if ((code === closeBracket || code === closeBrace) && depth > 0) {
			depth--;
		}

		if (depth > maxBracketDepth) {
			return {...toTextPlace(text, i), problem: `more than ${maxBracketDepth} brackets are open`, remedy};
		}
	}

	return undefined;
}

function toTextPlace(text: string, offset: number): Place {
	const before = text.slice(0, offset);
	return {line: before.split('\n').length, column: offset - before.lastIndexOf('\n')};
}
