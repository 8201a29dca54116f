/** Module hooks of a baseline entry: two modules of the program are exchanged for the bench's, and nothing of it is changed. */
import {type ResolveHook} from 'node:module';

const exchanged: ReadonlyArray<readonly [ending: string, file: string]> = [
	['/src/domain/create-admission/index.js', './baseline-admission.js'],
	['/src/domain/create-placement/index.js', './baseline-placement.js'],
];

export const resolve: ResolveHook = async (specifier, context, nextResolve) => {
	const resolved = await nextResolve(specifier, context);
	const file = exchanged.find(([ending]) => resolved.url.endsWith(ending))?.[1];
	// The baseline builds on the modules that it stands for.
	const isOwn = context.parentURL?.includes('/bench/') === true;
	return file === undefined || isOwn ? resolved : {...resolved, url: new URL(file, import.meta.url).href};
};
