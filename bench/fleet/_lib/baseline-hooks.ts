/** Module hooks that replace admission and placement of an unmodified entry by the modules of the baseline. */
import {type ResolveHook} from 'node:module';

const replacedModules: ReadonlyArray<readonly [ending: string, file: string]> = [
	['/src/domain/create-admission/index.js', './baseline-admission.js'],
	['/src/domain/create-placement/index.js', './baseline-placement.js'],
];

export const resolve: ResolveHook = async (specifier, context, nextResolve) => {
	const resolved = await nextResolve(specifier, context);
	const file = replacedModules.find(([ending]) => resolved.url.endsWith(ending))?.[1];
	// The modules of the baseline import the modules that they replace.
	const isOwn = context.parentURL?.includes('/bench/') === true;
	return file === undefined || isOwn ? resolved : {...resolved, url: new URL(file, import.meta.url).href};
};
