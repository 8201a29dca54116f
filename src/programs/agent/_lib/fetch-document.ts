/** Fetches a document from a peer by requesting the chunks that this host lacks. */
import {err, type Result} from 'neverthrow';
import {isRecord} from '../../../_lib/is-record/index.js';
import {fromConfigChunks} from '../../../domain/from-config-chunks/index.js';
import {type ConfigManifest} from '../../../domain/to-config-chunks/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type NamedPart} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';
import {type ConfigOfferOptions} from './create-document-store.js';
import {peerCalls} from './peer-messages.js';

export const chunksInCall = 128;
export const partsInCall = 64;
const callTimeoutMs = 3000;

export type DocumentKind = 'config' | 'fleet';

/** A received document that has not been validated yet. */
export type OfferedDocument = ConfigOfferOptions & {
	text: string;
	revision: number;
};

export type FetchDocumentOptions = {
	kind: DocumentKind;
	call: (host: HostId, method: string, body: unknown, options: {timeoutMs: Milliseconds}) => Promise<Result<unknown, {message: string}>>;
	/** Validates a document that came from a peer, and puts it in force if it is newer; returns the parts that are missing. */
	offer: (document: OfferedDocument, from: HostId) => readonly NamedPart[];
	/** Chunks that this host has, by digest; fetched chunks are added. */
	known: Map<string, string>;
};

function isManifest(value: unknown): value is ConfigManifest & {revision: number} {
	return isRecord(value) && typeof value.digest === 'string' && value.chunkDigests instanceof Uint8Array && typeof value.revision === 'number';
}

function isChunks(value: unknown): value is string[] {
	return Array.isArray(value) && value.every(chunk => typeof chunk === 'string');
}

/** Fetches chunks into `known`; returns the reason of a failure. */
async function fetchChunks(from: HostId, digests: readonly string[], {kind, call, known}: FetchDocumentOptions): Promise<string | undefined> {
	for (let start = 0; start < digests.length; start += chunksInCall) {
		const part = digests.slice(start, start + chunksInCall);
		const reply = await call(from, peerCalls.chunks, {kind, digests: part}, {timeoutMs: callTimeoutMs});
		if (reply.isErr()) {
			return reply.error.message;
		}

		if (!isChunks(reply.value) || reply.value.length !== part.length) {
			return 'the peer replied with other chunks than requested';
		}

		for (const [i, digest] of part.entries()) {
			known.set(digest, reply.value[i]!);
		}
	}

	return undefined;
}

/** Assembles a text from the known chunks and those of a peer. */
async function fetchText(from: HostId, manifest: ConfigManifest, options: FetchDocumentOptions): Promise<Result<string, string>> {
	const find = (digest: string) => options.known.get(digest);
	const first = fromConfigChunks(manifest, find);
	if (first.isErr() && first.error.kind === 'missing') {
		const failure = await fetchChunks(from, first.error.digests, options);
		if (failure !== undefined) {
			return err(failure);
		}
	}

	return fromConfigChunks(manifest, find).mapErr(({kind}) => `the peer's chunks do not match its manifest (${kind})`);
}

/** Fetches parts into `texts`; returns the reason of a failure. */
async function fetchParts(from: HostId, parts: readonly NamedPart[], texts: Map<string, string>, options: FetchDocumentOptions): Promise<string | undefined> {
	const {kind, call} = options;
	for (let start = 0; start < parts.length; start += partsInCall) {
		const wanted = parts.slice(start, start + partsInCall).map(({sha256}) => sha256);
		const reply = await call(from, peerCalls.manifest, {kind, parts: wanted}, {timeoutMs: callTimeoutMs});
		if (reply.isErr()) {
			return reply.error.message;
		}

		if (!Array.isArray(reply.value) || reply.value.length !== wanted.length) {
			return 'the peer\'s manifests of the parts are malformed';
		}

		for (const [i, digests] of (reply.value as unknown[]).entries()) {
			if (!(digests instanceof Uint8Array)) {
				return 'the peer has another document in force by now';
			}

			const text = await fetchText(from, {digest: wanted[i]!, chunkDigests: digests}, options);
			if (text.isErr()) {
				return text.error;
			}

			texts.set(wanted[i]!, text.value);
		}
	}

	return undefined;
}

/**
 * Fetches the document of one peer and offers it to this host.
 *
 * @param from - The peer.
 * @param options - See {@link FetchDocumentOptions}.
 * @returns The reason of a failure; `undefined` when the document was fetched and offered.
 */
export async function fetchDocument(from: HostId, options: FetchDocumentOptions): Promise<string | undefined> {
	const {kind, call, offer} = options;
	const manifest = await call(from, peerCalls.manifest, {kind}, {timeoutMs: callTimeoutMs});
	if (manifest.isErr()) {
		return manifest.error.message;
	}

	if (!isManifest(manifest.value)) {
		return 'the peer\'s manifest is malformed';
	}

	const {revision} = manifest.value;
	const fetched = await fetchText(from, manifest.value, options);
	if (fetched.isErr()) {
		return fetched.error;
	}

	const text = fetched.value;
	const missing = offer({text, revision, isQuiet: true}, from);
	if (missing.length === 0) {
		return undefined;
	}

	const texts = new Map<string, string>();
	const failure = await fetchParts(from, missing, texts, options);
	if (failure !== undefined) {
		return failure;
	}

	// If parts are missing now, a newer document without them has come in force since the first offer.
	const missed = offer({
		text, revision, isQuiet: true, findPart: ({sha256}) => texts.get(sha256),
	}, from);
	return missed.length > 0 ? 'a newer document has come in force during the fetch' : undefined;
}
