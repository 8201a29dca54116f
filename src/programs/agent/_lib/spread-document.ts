/**
 * Spreads one of the platform's documents between agents. An agent that hears of
 * a newer version fetches the chunks that it lacks from a peer that has the
 * version. For a document in parts, it fetches the root first and then the
 * missing parts.
 */
import {isRecord} from '../../../_lib/is-record/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {compareConfigVersions} from '../../../domain/compare-config-versions/index.js';
import {toConfigChunks, type ConfigChunks} from '../../../domain/to-config-chunks/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ConfigVersion} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';
import {bytesPerMebibyte, msPerSecond} from '../../../ports/units.js';
import {
	chunksInCall, fetchDocument, partsInCall, type FetchDocumentOptions,
} from './fetch-document.js';
import {type HeldDocument} from './create-document-store.js';
import {peerCalls, type ShortVersion} from './peer-messages.js';

const shortDigestLength = 16;
const retryMs = 200;
const maxTries = 10;
const maxHolders = 16;

/** Limit of what one host serves its peers. Above it calls fail with `busy`, and the peers retry with other holders, which have the document by then. */
const servedBytesPerSecond = 4 * bytesPerMebibyte;

export type SpreadDocumentOptions = Pick<FetchDocumentOptions, 'kind' | 'call' | 'offer'> & {
	/** The document that this host holds. */
	held: () => HeldDocument | undefined;
	onFailure: (message: string, from: HostId) => void;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

export type DocumentSpread = {
	version: () => ShortVersion | undefined;
	/** Handles the version that a peer holds, and fetches it if it is newer. */
	noteVersion: (from: HostId, version: ShortVersion | undefined) => void;
	/** Whether a newer version is being fetched. */
	isBehind: () => boolean;
	/** Settles when no version is being fetched any more. */
	whenFetched: () => Promise<void>;
	/** Answers a peer's call. */
	serve: (method: string, body: unknown) => unknown;
};

function toShort({edition, revision, digest}: ConfigVersion): ShortVersion {
	return {edition, revision, digest: digest.slice(0, shortDigestLength)};
}

type ChunkedDocument = {
	/** Digest of the document or its root. */
	digest: string;
	root: ConfigChunks;
	/** Chunks of the parts, by the parts' digests. */
	parts: ReadonlyMap<string, ConfigChunks>;
	/** Texts of all chunks of root and parts, by digest. */
	chunks: ReadonlyMap<string, string>;
};

/** Returns the manifests of parts; `undefined` for a part that is not in force here. */
function serveParts({parts}: ChunkedDocument, digests: readonly unknown[]): ReadonlyArray<Uint8Array | undefined> {
	return digests.slice(0, partsInCall).map(digest => parts.get(String(digest))?.manifest.chunkDigests);
}

/**
 * Creates the spread of one document.
 *
 * @param options - See {@link SpreadDocumentOptions}.
 * @returns See {@link DocumentSpread}.
 */
export function spreadDocument(options: SpreadDocumentOptions): DocumentSpread {
	const {kind, held, offer, call, onFailure, now, random, signal} = options;
	let chunked: ChunkedDocument | undefined;
	let wanted: {version: ShortVersion; holders: Set<HostId>} | undefined;
	let refusedDigest: string | undefined;
	let isFetching = false;
	let fetching: Promise<void> = Promise.resolve();
	let served = {bytes: 0, since: -Infinity};

	/** Splits the held document into chunks. Parts that the previous document had too are not split again. */
	function toChunkedDocument(): ChunkedDocument | undefined {
		const document = held();
		if (document && chunked?.digest !== document.version.digest) {
			const {version: {digest}, text, parts = []} = document;
			const before = chunked?.parts;
			const pieces = new Map(parts.map(part => [part.sha256, before?.get(part.sha256) ?? toConfigChunks(part.text)]));
			const root = toConfigChunks(text);
			chunked = {
				digest, root, parts: pieces, chunks: new Map([root, ...pieces.values()].flatMap(({chunks}) => [...chunks])),
			};
		}

		return document && chunked;
	}

	function enforceServeLimit(bytes: number) {
		if (now() - served.since >= msPerSecond) {
			served = {bytes: 0, since: now()};
		}

		if (served.bytes > servedBytesPerSecond) {
			throw new Error('busy');
		}

		served.bytes += bytes;
	}

	function serve(method: string, body: unknown): unknown {
		const own = toChunkedDocument();
		if (!own || !isRecord(body)) {
			throw new Error(`no ${kind} here`);
		}

		if (method === peerCalls.manifest) {
			return Array.isArray(body.parts) ? serveParts(own, body.parts) : {...own.root.manifest, revision: held()!.version.revision};
		}

		const digests = Array.isArray(body.digests) ? body.digests as unknown[] : [];
		const found = digests.slice(0, chunksInCall).map(digest => typeof digest === 'string' ? own.chunks.get(digest) ?? '' : '');
		enforceServeLimit(found.reduce((sum, chunk) => sum + chunk.length, 0));
		return found;
	}

	function isWanted(): boolean {
		const version = held()?.version;
		return wanted !== undefined && (!version || compareConfigVersions(wanted.version, toShort(version)) > 0);
	}

	async function fetchWanted() {
		isFetching = true;
		for (let tries = 0; tries < maxTries && isWanted() && !signal.aborted; tries++) {
			const holders = [...wanted!.holders];
			const from = holders[Math.floor(random() * holders.length)]!;
			const failure = await fetchDocument(from, {
				kind, call, offer, known: new Map(toChunkedDocument()?.chunks),
			});
			if (failure === undefined) {
				// The document was fetched and validated. If it is still wanted, it was refused, and would be refused again.
				refusedDigest = isWanted() ? wanted!.version.digest : refusedDigest;
				break;
			}

			onFailure(failure, from);
			await waitFor(retryMs * (0.5 + random()), signal);
		}

		wanted = undefined;
		isFetching = false;
	}

	return {
		version() {
			const document = held();
			return document && toShort(document.version);
		},
		noteVersion(from, version) {
			const own = held()?.version;
			if (!version || version.digest === refusedDigest || (own && compareConfigVersions(version, toShort(own)) <= 0)) {
				return;
			}

			if (own && version.digest === toShort(own).digest) {
				// The same text as here; the platform has since served it under a later revision.
				offer({text: held()!.text, revision: version.revision}, from);
				return;
			}

			if (wanted && compareConfigVersions(version, wanted.version) === 0) {
				if (wanted.holders.size < maxHolders) {
					wanted.holders.add(from);
				}
			} else if (!wanted || compareConfigVersions(version, wanted.version) > 0) {
				wanted = {version, holders: new Set([from])};
			}

			if (!isFetching) {
				fetching = fetchWanted();
			}
		},
		isBehind: () => isFetching,
		whenFetched: async () => fetching,
		serve,
	};
}
