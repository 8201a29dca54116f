/**
 * Cuts a document into chunks, so that a peer that has an earlier document receives
 * only the changed chunks. The cuts depend on the content: an edit moves only the
 * cuts next to it.
 */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {toDigest} from '../../_lib/to-digest/index.js';
import {cutText} from './_lib/cut-text.js';

/** Length of a chunk's digest in a manifest, in bytes. The digest of the whole text detects a collision. */
export const chunkDigestBytes = 8;

/** Average length of a chunk, in characters. Shorter chunks make the manifest longer; longer chunks send more unchanged text with each edit. */
export const defaultChunkLength = 2048;

/** Lists all chunks of a document in their order; takes about 4 KB for a document of 1 MB. */
export type ConfigManifest = {
	/** SHA-256 of the whole text, hex. */
	digest: string;
	/** Truncated SHA-256 digests of the chunks, concatenated. */
	chunkDigests: Uint8Array;
};

export type ConfigChunks = {
	manifest: ConfigManifest;
	/** Chunks by truncated digest, hex. */
	chunks: ReadonlyMap<string, string>;
};

export type ConfigChunksOptions = {
	/** Average length of a chunk, in characters. */
	averageLength?: number;
};

/**
 * Cuts a document into chunks.
 *
 * @param text - A whole document.
 * @param options - Average length of a chunk; hosts with different values can still exchange documents.
 * @returns The manifest and the chunks.
 *
 * @example
 * ```ts
 * const {manifest, chunks} = toConfigChunks(text);
 * fromConfigChunks(manifest, digest => chunks.get(digest))._unsafeUnwrap() === text; // => true
 * ```
 */
export function toConfigChunks(text: string, options: ConfigChunksOptions = {}): ConfigChunks {
	const pieces = cutText(text, options.averageLength ?? defaultChunkLength);
	const digests = pieces.map(piece => createHash('sha256').update(piece, 'utf8').digest().subarray(0, chunkDigestBytes));
	const chunks = new Map(pieces.map((piece, i) => [digests[i]!.toString('hex'), piece]));
	return {manifest: {digest: toDigest(text), chunkDigests: Uint8Array.from(Buffer.concat(digests))}, chunks};
}
