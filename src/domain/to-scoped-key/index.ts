import {type WorkspaceId} from '../../ports/ids.js';

/**
 * Combines a key with its workspace into one string, for tables and for hashing, so
 * that two workspaces that use the same UUID don't collide. The key comes first and
 * has a fixed alphabet, so no name of a workspace can forge another pair.
 *
 * @param scoped - Workspace and key.
 * @returns The scoped key. Two scoped keys are equal exactly when both parts are equal.
 *
 * @example
 * ```ts
 * toScopedKey({workspace: 'glossworks', key: '0189'}); // => '0189\nglossworks'
 * ```
 */
export function toScopedKey({workspace, key}: {workspace: WorkspaceId; key: string}): string {
	// `join` gives a flat string. A concatenation would keep both of its parts in memory as long as a table has the scoped key.
	return [key.toLowerCase(), workspace].join('\n');
}

/**
 * Splits a scoped key from {@link toScopedKey}.
 *
 * @param text - The scoped key.
 * @returns Workspace and key, the key in lower case.
 *
 * @example
 * ```ts
 * parseScopedKey('0189\nglossworks'); // => {workspace: 'glossworks', key: '0189'}
 * ```
 */
export function parseScopedKey(text: string): {workspace: WorkspaceId; key: string} {
	const end = text.indexOf('\n');
	return {workspace: text.slice(end + 1), key: text.slice(0, end)};
}
