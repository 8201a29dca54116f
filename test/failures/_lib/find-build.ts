import process from 'node:process';

/**
 * Finds the build that the hosts of a test run, for comparing with another version.
 *
 * @returns Folder of the build with a closing slash, from the environment variable `RELAY_BUILD`; `undefined` for this build.
 */
export function findBuild(): URL | undefined {
	const folder = process.env.RELAY_BUILD;
	return folder === undefined ? undefined : new URL(folder, 'file:///');
}
