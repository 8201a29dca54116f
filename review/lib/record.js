/** Writes what a script sent, what was answered and what ran. */
import {writeFileSync, appendFileSync} from 'node:fs';
import path from 'node:path';

/** Creates the record of a case, in the folder of its script. */
export function createRecord(folder) {
	const file = path.join(folder, 'record.txt');
	const startedAt = Date.now();
	writeFileSync(file, '');
	return text => {
		appendFileSync(file, `${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
	};
}
