/** Adds file, line and column to faults. */
import {type ConfigFault, type ParseConfigOptions} from '../index.js';
import {type Path, type PathFault} from './faults.js';
import {type JoinedSource} from './join-parts.js';
import {type SyntaxFault} from './place.js';

export type PlaceOptions = Pick<ParseConfigOptions, 'file'> & Required<Pick<ParseConfigOptions, 'isSource' | 'toPartFile'>>;

/** Number of faults that are reported with their places. */
const maxFaults = 200;

/** Formats a path, for faults without line and column; positions in lists count from 1. */
function toPathText(path: Path): string {
	const steps = path.map(step => typeof step === 'number' ? step + 1 : step);
	return steps.length > 0 ? `${steps.join(' ')}: ` : '';
}

function compareTexts(left = '', right = ''): number {
	return Number(left > right) - Number(left < right);
}

/**
 * Finds the places of the first faults, and sorts them by line. Finding a place
 * requires a walk through the document, and a text that is not a configuration at
 * all can have a fault on each of 100,000 lines, which would block a host for
 * minutes.
 */
function locateFirstFaults<T>(faults: readonly T[], locate: (faults: readonly T[]) => readonly ConfigFault[]): readonly ConfigFault[] {
	const located = locate(faults.slice(0, maxFaults)).toSorted((left, right) => compareTexts(left.file, right.file) || left.line - right.line || left.column - right.column);
	const more = faults.length - located.length;
	const last = located.at(-1);
	return last && more > 0 ? [...located, {...last, problem: `${more} more faults were found`, remedy: 'fix these first'}] : located;
}

/**
 * Converts syntax faults.
 *
 * @param faults - Syntax faults of one text.
 * @param file - Name of that text.
 * @returns The first faults, in the order of lines.
 */
export function toSyntaxFaults(faults: readonly SyntaxFault[], file: string | undefined): readonly ConfigFault[] {
	return locateFirstFaults(faults, list => list.map(({line, column, problem, remedy}): ConfigFault => ({
		file, line, column, problem, remedy,
	})));
}

/**
 * Converts faults of the content.
 *
 * @param faults - Faults in the content of a document or its parts.
 * @param joined - The document with its parts, for finding the places.
 * @param options - Names of the files, and whether this is a source.
 * @returns The first faults, in the order of files and lines.
 */
export function toContentFaults(faults: readonly PathFault[], joined: JoinedSource, options: PlaceOptions): readonly ConfigFault[] {
	const {file, isSource, toPartFile} = options;
	return locateFirstFaults(faults, list => list.map(({path, at, problem, remedy, missing}): ConfigFault => {
		// A host fetches a missing part and reads again. Finding the place would cost it more than the whole reading.
		const {part, path: ownPath, place} = missing && !isSource ? {part: undefined, path, place: undefined} : joined.locate(path, at);
		const {line, column} = place ?? {line: 1, column: 1};
		return {
			file: part === undefined ? file : toPartFile(part),
			line,
			column,
			problem: place ? problem : `${toPathText(ownPath)}${problem}`,
			remedy,
			...(missing && {missing}),
		};
	}));
}
