import {createHash} from 'node:crypto';
import {type Fingerprint, type WorkspaceId} from '../../ports/ids.js';

/** Enough that two requests of a fleet's day hardly ever share one, and short enough for a log line and a datagram. */
const fingerprintBytes = 9;

export type FingerprintInput = {
	workspace: WorkspaceId;
	method: string;
	/** Value of the `Host` header, in any case. */
	host: string | undefined;
	/** Path and query as they came. */
	target: string;
	body: Uint8Array;
};

/**
 * Names what a caller asks for, whatever id the request has and whichever host
 * it reaches. Nothing of the body can be read from it.
 *
 * @param input - Who asks, and for what.
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
