import {type WorkspaceId} from '../../ports/ids.js';

/**
 * Names a key within its workspace as one text, for tables and for hashing. Two
 * workspaces that use one UUID must not meet. The key stands first and has a
 * fixed alphabet, so no workspace name can imitate another pair.
 *
 * @param scoped - Workspace and key.
 * @returns The text; equal exactly when both parts are.
 *
 * @example
 * ```ts
 * toScopedText({workspace: 'glossworks', key: '0189'}); // => '0189\nglossworks'
 * ```
 */
export function toScopedKey({workspace, key}: {workspace: WorkspaceId; key: string}): string {
	// Joined and not concatenated: a concatenation keeps its parts alive in every table that it names an entry of.
	return [key.toLowerCase(), workspace].join('\n');
}

/**
 * Reads a text of {@link toScopedKey} back.
 *
 * @param text - The text.
 * @returns Workspace and key, the key in lower case.
 *
 * @example
 * ```ts
 * parseScopedText('0189\nglossworks'); // => {workspace: 'glossworks', key: '0189'}
 * ```
 */
export function parseScopedKey(text: string): {workspace: WorkspaceId; key: string} {
	const end = text.indexOf('\n');
	return {workspace: text.slice(end + 1), key: text.slice(0, end)};
}
