/** Bounds how deep a text nests, before a parser sees it. */
import {type Place, type SyntaxFault} from './place.js';

/** Levels of brackets; a document needs six. */
const maxBracketDepth = 64;

/** Columns of blanks, dashes and question marks before the first word of a line, each of which may open a level in YAML. */
const maxIndentColumns = 128;

const [openBracket, openBrace, closeBracket, closeBrace] = Array.from('[{]}', bracket => bracket.codePointAt(0));

const wideIndent = new RegExp(`^[ ?:-]{${maxIndentColumns + 1}}`, 'm');

/**
 * The YAML parser calls itself for each level. At some hundreds of them the
 * stack is full, and Node ends the whole process when that happens while it
 * compiles a regular expression: one published document would take down every
 * host. Brackets are counted wherever they stand, also in texts and comments,
 * which needs no parser and is strict enough for documents of six levels.
 *
 * @param text - Any text.
 * @returns Where it nests too deep, if it does.
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
