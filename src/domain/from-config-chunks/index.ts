/** Reassembles a document from its chunks. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {toDigest} from '../../_lib/to-digest/index.js';
import {chunkDigestBytes, type ConfigManifest} from '../to-config-chunks/index.js';

/**
 * - `missing`: some chunks were not found; fetch them and try again.
 * - `altered`: the joined chunks don't have the digest of the manifest; fetch the whole document.
 * - `invalid-manifest`: the manifest is malformed.
 */
export type ChunksFault =
	| {kind: 'missing'; digests: readonly string[]}
	| {kind: 'altered'}
	| {kind: 'invalid-manifest'};

/**
 * Reassembles a document.
 *
 * @param manifest - The document's manifest, from a peer.
 * @param findChunk - Finds a chunk by truncated digest in hex, among the chunks of the document in force and those received.
 * @returns The text, verified by the digest of the whole, or why the text can't be assembled.
 *
 * @example
 * ```ts
 * fromConfigChunks(manifest, digest => known.get(digest)); // => ok(text) or err({kind: 'missing', digests: ['0f...']})
 * ```
 */
export function fromConfigChunks(manifest: ConfigManifest, findChunk: (digest: string) => string | undefined): Result<string, ChunksFault> {
	const {chunkDigests} = manifest;
	if (chunkDigests.length % chunkDigestBytes > 0) {
		return err({kind: 'invalid-manifest'});
	}

	const digests = toDigests(chunkDigests);
	const pieces = digests.map(digest => findChunk(digest));
	const missing = digests.filter((_, i) => pieces[i] === undefined);
	if (missing.length > 0) {
		return err({kind: 'missing', digests: [...new Set(missing)]});
	}

	const text = pieces.join('');
	return toDigest(text) === manifest.digest ? ok(text) : err({kind: 'altered'});
}

function toDigests(packed: Uint8Array): readonly string[] {
	const bytes = Buffer.from(packed.buffer, packed.byteOffset, packed.byteLength);
	return Array.from({length: packed.length / chunkDigestBytes}, (_, i) => bytes.toString('hex', i * chunkDigestBytes, (i + 1) * chunkDigestBytes));
}
