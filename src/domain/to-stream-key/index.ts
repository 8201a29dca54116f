import {toDigest} from '../../_lib/to-digest/index.js';
import {type RequestId, type WorkspaceId} from '../../ports/ids.js';
import {type StreamKey} from '../../ports/stream-origins.js';

/** 96 bits: callers choose request ids, and must not find two with the same key. */
const keyLength = 24;

/**
 * Computes the key under which hosts keep the origin of a stream. It depends on the
 * workspace, so that no workspace can learn of or bind the streams of another.
 *
 * @param workspace - Workspace of the caller.
 * @param requestId - Id of the request whose answer began the stream.
 * @returns The key, in hex.
 *
 * @example
 * ```ts
 * toStreamKey('naslovnik', '9c41d07be2a35f68').length; // => 24
 * ```
 */
export function toStreamKey(workspace: WorkspaceId, requestId: RequestId): StreamKey {
	return toDigest(`${requestId}\n${workspace}`).slice(0, keyLength);
}
