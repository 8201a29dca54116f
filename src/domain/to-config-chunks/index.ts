/**
 * Cuts a document into chunks, so that a peer which has an earlier one is sent
 * only what changed. The cuts follow the content: an edit moves the cuts beside
 * it and no others.
 */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {toDigest} from '../../_lib/to-digest/index.js';
import {cutText} from './_lib/cut-text.js';

/** Bytes of a chunk's digest in a manifest. A collision is found by the digest of the whole text. */
export const chunkDigestBytes = 8;

/** Average length of a chunk. Shorter ones make a longer manifest, longer ones more text around an edit. */
export const defaultChunkLength = 2048;

/** Names all chunks of a document in their order; about 4 KB for a document of 1 MB. */
export type ConfigManifest = {
	/** SHA-256 of the whole text, hex. */
	digest: string;
	/** Truncated SHA-256 digests of the chunks, one after the other. */
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
 * Cuts a document.
 *
 * @param text - A whole document.
 * @param options - Average length of a chunk; hosts that use different ones still understand each other.
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
