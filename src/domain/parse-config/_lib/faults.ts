/**
 * Collects faults of a configuration document while it is read, so that all are
 * reported at once.
 */
import {type NamedPart} from '../../../ports/config.js';

/** Keys and positions from the document's root to a value. */
export type Path = ReadonlyArray<string | number>;

/** A fault before its path has been turned into a line and a column. */
export type PathFault = {
	path: Path;
	/** Whether the key itself is wrong, or its value. */
	at: 'key' | 'value';
	problem: string;
	remedy: string;
	/** The part that is not there. */
	missing?: NamedPart;
};

export type FaultSink = {
	add: (path: Path, problem: string, remedy: string, at?: 'key' | 'value') => void;
	/** The document names a part that is not there. */
	addMissing: (path: Path, part: NamedPart, problem: string, remedy: string) => void;
	list: () => readonly PathFault[];
};

/**
 * Creates an empty collection of faults.
 *
 * @returns Functions to add one and to list all in the order of their finding.
 */
export function createFaultSink(): FaultSink {
	const faults: PathFault[] = [];
	return {
		add(path, problem, remedy, at = 'value') {
			faults.push({
				path, at, problem, remedy,
			});
		},
		addMissing(path, missing, problem, remedy) {
			faults.push({
				path, at: 'value', problem, remedy, missing,
			});
		},
		list: () => faults,
	};
}
