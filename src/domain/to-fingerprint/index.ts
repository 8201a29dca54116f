import {createHash} from 'node:crypto';
import {type Fingerprint, type WorkspaceId} from '../../ports/ids.js';

/** Long enough that two of the requests that a fleet gets in a day hardly ever collide, and short enough for a log line and a datagram. */
const fingerprintBytes = 9;

export type FingerprintInput = {
	workspace: WorkspaceId;
	method: string;
	/** Value of the `Host` header, in any case. */
	host: string | undefined;
	/** Path and query as received. */
	target: string;
	body: Uint8Array;
};

/**
 * Hashes the content of a request. The fingerprint does not depend on the request's
 * id or on the host that receives the request, and reveals nothing of the body.
 *
 * @param input - The parts of the request that identify the work.
 * @returns 12 characters, base64url.
 *
 * @example
 * ```ts
 * toFingerprint({workspace: 'glossworks', method: 'POST', host: 'a.example', target: '/scenes/1', body: new Uint8Array()}).length; // => 12
 * ```
 */
export function toFingerprint({workspace, method, host = '', target, body}: FingerprintInput): Fingerprint {
	return createHash('sha256')
		.update(JSON.stringify([workspace, method, host.toLowerCase(), target]))
		.update(body)
		.digest()
		.subarray(0, fingerprintBytes)
		.toString('base64url');
}
