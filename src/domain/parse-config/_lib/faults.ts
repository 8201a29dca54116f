/**
 * Collects the faults of a configuration document while it is read, so that all
 * of them are reported at once.
 */
import {type NamedPart} from '../../../ports/config.js';

/** Keys and positions from the document's root to a value. */
export type Path = ReadonlyArray<string | number>;

/** A fault before its path has been turned into a line and a column. */
export type PathFault = {
	path: Path;
	/** Whether the fault is in the key itself or in its value. */
	at: 'key' | 'value';
	problem: string;
	remedy: string;
	/** The missing part, if that is the fault. */
	missing?: NamedPart;
};

export type FaultSink = {
	add: (path: Path, problem: string, remedy: string, at?: 'key' | 'value') => void;
	/** Adds the fault that a part named by the document is missing. */
	addMissing: (path: Path, part: NamedPart, problem: string, remedy: string) => void;
	list: () => readonly PathFault[];
};

/**
 * Creates an empty collection of faults.
 *
 * @returns Functions to add a fault, and to list all faults in the order in which they were added.
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
