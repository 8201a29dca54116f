import {Buffer} from 'node:buffer';
import {type ClaimRequest} from '../../../../domain/create-claim-witness/index.js';

/**
 * Copies a text that came off the wire. The codec cuts texts out of the frame's
 * own, and V8 keeps the whole frame alive for each of them; a table of claims
 * would hold about three times its size.
 *
 * @param text - A decoded text.
 * @returns The same text in memory of its own.
 */
export function detachText(text: string): string {
	return Buffer.from(text, 'utf8').toString('utf8');
}

/**
 * @param request - A claim off the wire.
 * @returns The same claim, its texts in memory of their own.
 */
export function detachRequest(request: ClaimRequest): ClaimRequest {
	const {workspace, key, claimId, digest, claimant} = request;
	return {
		...request,
		workspace: detachText(workspace),
		key: detachText(key),
		claimId: detachText(claimId),
		digest: detachText(digest),
		claimant: {...claimant, host: detachText(claimant.host), address: detachText(claimant.address)},
	};
}
