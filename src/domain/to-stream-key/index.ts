import {createHash} from 'node:crypto';
import {type RequestId, type WorkspaceId} from '../../ports/ids.js';
import {type StreamKey} from '../../ports/stream-origins.js';

/** 96 bits in base64url: callers choose request ids, and must not find two with the same key. */
const keyLength = 16;

/**
 * Computes the key under which hosts keep the origin of a stream. It depends on the
 * workspace, so that no workspace can learn of or bind the streams of another.
 *
 * @param workspace - Workspace of the caller.
 * @param requestId - Id of the request whose answer began the stream.
 * @returns The key, in base64url.
 *
 * @example
 * ```ts
 * toStreamKey('naslovnik', '9c41d07be2a35f68').length; // => 16
 * ```
 */
export function toStreamKey(workspace: WorkspaceId, requestId: RequestId): StreamKey {
	return createHash('sha256').update(`${requestId}\n${workspace}`, 'utf8').digest('base64url').slice(0, keyLength);
}
