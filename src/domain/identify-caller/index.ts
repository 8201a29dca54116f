import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {type WorkspaceId} from '../../ports/ids.js';

/** Workspace of callers that name none, used when callers need no token. */
export const anonymousWorkspace: WorkspaceId = 'anonymous';

/**
 * Finds the workspace on whose behalf a request is made. When the configuration
 * has callers' tokens, the token alone determines the workspace, and an
 * `x-workspace` header must name the same one.
 *
 * @param headers - Request headers by lower-case name.
 * @param callerTokens - Workspace by SHA-256 of the token, hex.
 * @returns The workspace, or a message that tells the caller what to do.
 *
 * @example
 * ```ts
 * identifyCaller({'x-workspace': 'glossworks'}, {}); // => ok('glossworks')
 * ```
 */
export function identifyCaller(headers: Readonly<Record<string, string>>, callerTokens: Readonly<Record<string, WorkspaceId>>): Result<WorkspaceId, string> {
	const named = headers['x-workspace'];
	if (Object.keys(callerTokens).length === 0) {
		return ok(named ?? anonymousWorkspace);
	}

	const token = /^bearer (?<token>\S+)$/iv.exec(headers.authorization ?? '')?.groups?.token;
	if (token === undefined) {
		return err('Send a caller token as "Authorization: Bearer ...".');
	}

	const digest = createHash('sha256').update(token).digest('hex');
	const workspace = Object.hasOwn(callerTokens, digest) ? callerTokens[digest] : undefined;
	if (workspace === undefined) {
		return err('The caller token is not known. Ask the operators for one.');
	}

	return named === undefined || named === workspace ? ok(workspace) : err('The caller token belongs to another workspace than x-workspace names. Leave x-workspace out.');
}
