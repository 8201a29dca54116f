/** Loads the bundled program with the code that V8 compiled when it was built. */
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import {Script} from 'node:vm';

const folder = path.join(import.meta.dirname, '..', 'target');
export const programFile = path.join(folder, 'banyanport-relay.cjs');
export const cacheFile = path.join(folder, 'banyanport-relay.cache');

/** Parameters of the function that surrounds a CommonJS module. */
const moduleParameters = ['exports', 'require', 'module', '__filename', '__dirname'];

/** @returns The compiled code; `undefined` where the build left none. */
export function readCache() {
	try {
		return readFileSync(cacheFile);
	} catch {
		return undefined;
	}
}

/**
 * Loads the program. V8 refuses compiled code of another version or with other
 * flags; the program is then compiled anew, which takes a tenth of a second more.
 *
 * @param {Buffer | undefined} cachedData - Compiled code.
 * @returns The exports of the program, and the script that compiled it.
 */
export function loadProgram(cachedData) {
	const source = `(function (${moduleParameters.join(', ')}) {${readFileSync(programFile, 'utf8')}\n})`;
	const script = new Script(source, {filename: programFile, cachedData});
	const module = {exports: {}};
	script.runInThisContext()(module.exports, createRequire(programFile), module, programFile, folder);
	return {program: module.exports, script};
}
