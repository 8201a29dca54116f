/** The record of a case, and its verdict. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Whether the case plays with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

const limitMs = 115_000;

/**
 * Runs a case: writes its record and ends with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
 *
 * @param {string} folder - Folder of the case.
 * @param {Function} play - Plays the case with a function that adds a line to the record; resolves to whether the rule was broken.
 */
export async function runCase(folder, play) {
	const startedAt = Date.now();
	const lines = [];
	const note = line => {
		lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${line}`);
	};

	const finish = (code, line) => {
		note(line);
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.stdout.write(`${line}\n`);
		process.exit(code);
	};

	setTimeout(() => finish(2, 'the case did not end in time'), limitMs).unref();
	note(isTroubled ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
	try {
		const isBroken = await play(note);
		finish(isBroken ? 1 : 0, isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		finish(2, `the case could not run: ${error.stack}`);
	}
}
