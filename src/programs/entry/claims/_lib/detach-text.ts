import {Buffer} from 'node:buffer';
import {type ClaimRequest} from '../../../../domain/create-claim-witness/index.js';

/**
 * Copies a string that was decoded from a frame. The codec slices strings out of
 * the frame's text, and V8 keeps the whole frame alive for each slice; a table of
 * claims would take about three times its size.
 *
 * @param text - A decoded text.
 * @returns A copy that does not reference the frame.
 */
export function detachText(text: string): string {
	return Buffer.from(text, 'utf8').toString('utf8');
}

/**
 * Copies the strings of a claim that was decoded from a frame; see {@link detachText}.
 *
 * @param request - A decoded claim.
 * @returns A copy whose strings do not reference the frame.
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
