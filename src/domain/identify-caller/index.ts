import {err, ok, type Result} from 'neverthrow';
import {toDigest} from '../../_lib/to-digest/index.js';
import {type Config} from '../../ports/config.js';
import {type WorkspaceId} from '../../ports/ids.js';

/** Workspace of callers that name none, used when callers need no key. */
export const anonymousWorkspace: WorkspaceId = 'anonymous';

/** The keys of a configuration, and whether callers need one. */
export type CallerKeys = Pick<Config, 'callerTokens' | 'workspaces'>;

export type CallerFault = {
	/** `unknown-key`: no workspace of the configuration holds the key. A newer configuration may. */
	kind: 'no-key' | 'unknown-key' | 'other-workspace';
	/** Tells the caller what to do. */
	detail: string;
};

export type IdentifiedCaller = {
	workspace: WorkspaceId;
	/** Whether a key determined the workspace. */
	isAuthenticated: boolean;
};

/**
 * Whether callers must send a key. A configuration that lists workspaces needs
 * keys even after the last key was taken away; otherwise taking away all keys
 * would let everybody in.
 *
 * @param keys - Keys and workspaces of the configuration.
 * @returns `true` if requests without a key are refused.
 */
export function needsKey({callerTokens, workspaces}: CallerKeys): boolean {
	return workspaces !== undefined || Object.keys(callerTokens).length > 0;
}

/**
 * Finds the workspace on whose behalf a request is made. Where callers need a key,
 * the key alone determines the workspace, and an `x-workspace` header must name
 * the same one.
 *
 * @param headers - Request headers by lower-case name.
 * @param keys - Keys and workspaces of the configuration.
 * @returns The workspace, or why the caller could not be identified.
 *
 * @example
 * ```ts
 * identifyCaller({'x-workspace': 'glossworks'}, {callerTokens: {}})._unsafeUnwrap().workspace; // => 'glossworks'
 * ```
 */
export function identifyCaller(headers: Readonly<Record<string, string>>, keys: CallerKeys): Result<IdentifiedCaller, CallerFault> {
	const named = headers['x-workspace'];
	if (!needsKey(keys)) {
		return ok({workspace: named ?? anonymousWorkspace, isAuthenticated: false});
	}

	const key = /^bearer (?<key>\S+)$/iv.exec(headers.authorization ?? '')?.groups?.key;
	if (key === undefined) {
		return err({kind: 'no-key', detail: 'Send a caller token as "Authorization: Bearer ...".'});
	}

	const digest = toDigest(key);
	const workspace = Object.hasOwn(keys.callerTokens, digest) ? keys.callerTokens[digest] : undefined;
	if (workspace === undefined) {
		return err({kind: 'unknown-key', detail: 'The caller token is not known. Ask the operators for one.'});
	}

	return named === undefined || named === workspace
		? ok({workspace, isAuthenticated: true})
		: err({kind: 'other-workspace', detail: 'The caller token belongs to another workspace than x-workspace names. Leave x-workspace out.'});
}
