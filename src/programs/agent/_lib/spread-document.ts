/**
 * Spreads one of the platform's documents between agents: whoever hears of a
 * newer version fetches it from one that has it, as the chunks it lacks.
 */
import {type Result} from 'neverthrow';
import {isRecord} from '../../../_lib/is-record/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {compareConfigVersions} from '../../../domain/compare-config-versions/index.js';
import {fromConfigChunks} from '../../../domain/from-config-chunks/index.js';
import {toConfigChunks, type ConfigChunks, type ConfigManifest} from '../../../domain/to-config-chunks/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ConfigVersion} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';
import {bytesPerMebibyte, msPerSecond} from '../../../ports/units.js';
import {peerCalls, type ShortVersion} from './peer-messages.js';

const shortDigestLength = 16;
const callTimeoutMs = 3000;
const chunksInCall = 128;
const retryMs = 200;
const maxTries = 10;
const maxHolders = 16;

/** What one host serves its peers; beyond it they are sent to others, which have the document by then. */
const servedBytesPerSecond = 4 * bytesPerMebibyte;

export type DocumentKind = 'config' | 'fleet';

export type SpreadDocumentOptions = {
	kind: DocumentKind;
	/** The document that is held. */
	held: () => {version: ConfigVersion; text: string} | undefined;
	/** Judges a document that came from a peer. */
	offer: (text: string, revision: number, from: HostId) => void;
	call: (host: HostId, method: string, body: unknown, options: {timeoutMs: Milliseconds}) => Promise<Result<unknown, {message: string}>>;
	onFailure: (message: string, from: HostId) => void;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

export type DocumentSpread = {
	version: () => ShortVersion | undefined;
	/** A peer says which version it holds. */
	noteVersion: (from: HostId, version: ShortVersion | undefined) => void;
	/** Whether a newer version is being fetched. */
	isBehind: () => boolean;
	/** Answers a peer's call. */
	serve: (method: string, body: unknown) => unknown;
};

function toShort({edition, revision, digest}: ConfigVersion): ShortVersion {
	return {edition, revision, digest: digest.slice(0, shortDigestLength)};
}

function isManifest(value: unknown): value is ConfigManifest & {revision: number} {
	return isRecord(value) && typeof value.digest === 'string' && value.chunkDigests instanceof Uint8Array && typeof value.revision === 'number';
}

function isChunks(value: unknown): value is string[] {
	return Array.isArray(value) && value.every(chunk => typeof chunk === 'string');
}

/**
 * Creates the spread of one document.
 *
 * @param options - See {@link SpreadDocumentOptions}.
 * @returns See {@link DocumentSpread}.
 */
export function spreadDocument(options: SpreadDocumentOptions): DocumentSpread {
	const {kind, held, offer, call, onFailure, now, random, signal} = options;
	let cut: {digest: string; chunks: ConfigChunks} | undefined;
	let wanted: {version: ShortVersion; holders: Set<HostId>} | undefined;
	let refused: string | undefined;
	let isFetching = false;
	let served = {bytes: 0, since: -Infinity};

	function toChunks(): ConfigChunks | undefined {
		const document = held();
		if (document && cut?.digest !== document.version.digest) {
			cut = {digest: document.version.digest, chunks: toConfigChunks(document.text)};
		}

		return document && cut?.chunks;
	}

	function countServed(bytes: number) {
		if (now() - served.since >= msPerSecond) {
			served = {bytes: 0, since: now()};
		}

		if (served.bytes > servedBytesPerSecond) {
			throw new Error('busy');
		}

		served.bytes += bytes;
	}

	function serve(method: string, body: unknown): unknown {
		const chunks = toChunks();
		if (!chunks) {
			throw new Error(`no ${kind} here`);
		}

		if (method === peerCalls.manifest) {
			return {...chunks.manifest, revision: held()!.version.revision};
		}

		const digests = isRecord(body) && Array.isArray(body.digests) ? body.digests as unknown[] : [];
		const found = digests.slice(0, chunksInCall).map(digest => typeof digest === 'string' ? chunks.chunks.get(digest) ?? '' : '');
		countServed(found.reduce((sum, chunk) => sum + chunk.length, 0));
		return found;
	}

	async function fetchChunks(from: HostId, digests: readonly string[], known: Map<string, string>): Promise<string | undefined> {
		for (let start = 0; start < digests.length; start += chunksInCall) {
			const part = digests.slice(start, start + chunksInCall);
			const reply = await call(from, peerCalls.chunks, {kind, digests: part}, {timeoutMs: callTimeoutMs});
			if (reply.isErr()) {
				return reply.error.message;
			}

			if (!isChunks(reply.value) || reply.value.length !== part.length) {
				return 'the chunks are not what was asked for';
			}

			for (const [i, digest] of part.entries()) {
				known.set(digest, reply.value[i]!);
			}
		}

		return undefined;
	}

	/** Fetches the document of one peer; returns why it could not. */
	async function fetchFrom(from: HostId): Promise<string | undefined> {
		const manifest = await call(from, peerCalls.manifest, {kind}, {timeoutMs: callTimeoutMs});
		if (manifest.isErr()) {
			return manifest.error.message;
		}

		if (!isManifest(manifest.value)) {
			return 'its manifest is malformed';
		}

		const {revision} = manifest.value;
		const known = new Map(toChunks()?.chunks);
		const first = fromConfigChunks(manifest.value, digest => known.get(digest));
		if (first.isErr() && first.error.kind === 'missing') {
			const failure = await fetchChunks(from, first.error.digests, known);
			if (failure !== undefined) {
				return failure;
			}
		}

		const text = fromConfigChunks(manifest.value, digest => known.get(digest));
		if (text.isErr()) {
			return `its chunks do not make up its document (${text.error.kind})`;
		}

		offer(text.value, revision, from);
		return undefined;
	}

	function isWanted(): boolean {
		const version = held()?.version;
		return wanted !== undefined && (!version || compareConfigVersions(wanted.version, toShort(version)) > 0);
	}

	async function fetch() {
		isFetching = true;
		for (let tries = 0; tries < maxTries && isWanted() && !signal.aborted; tries++) {
			const holders = [...wanted!.holders];
			const from = holders[Math.floor(random() * holders.length)]!;
			const failure = await fetchFrom(from);
			if (failure === undefined) {
				// Fetched and judged. If it is still not held it was refused, and will be again.
				refused = isWanted() ? wanted!.version.digest : refused;
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
			if (!version || version.digest === refused || (own && compareConfigVersions(version, toShort(own)) <= 0)) {
				return;
			}

			if (own && version.digest === toShort(own).digest) {
				// The same text, which the platform has since served under a later revision.
				offer(held()!.text, version.revision, from);
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
				void fetch();
			}
		},
		isBehind: () => isFetching,
		serve,
	};
}
