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
export function toScopedText({workspace, key}: {workspace: WorkspaceId; key: string}): string {
	return `${key.toLowerCase()}\n${workspace}`;
}
