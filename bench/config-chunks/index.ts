/**
 * Measures the cost of one change of a document with 18,000 workspaces. Between two hosts:
 * bytes of the manifest and of the missing chunks for several average chunk lengths, and
 * the time to split and join the document. For the same document in parts: bytes of the
 * root and of the changed part, between two hosts and from the platform.
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import fc from 'fast-check';
import {toFleetConfig} from '../../src/domain/_test/to-fleet-config.js';
import {toConfigText} from '../../src/domain/to-config-text/index.js';
import {fromConfigChunks} from '../../src/domain/from-config-chunks/index.js';
import {sealConfig} from '../../src/domain/seal-config/index.js';
import {sealParts} from '../../src/domain/seal-parts/index.js';
import {splitConfig} from '../../src/domain/split-config/index.js';
import {toConfigChunks, type ConfigChunks} from '../../src/domain/to-config-chunks/index.js';

export type ConfigChunksRow = {
	averageLength: number;
	documentBytes: number;
	changes: number;
	manifestBytes: number;
	/** Bytes of the chunks that the other host is missing: mean over the changes. */
	chunkBytesMean: number;
	chunkBytesMax: number;
	totalBytesMean: number;
	cutMs: number;
	joinMs: number;
};

const changeCount = 20;
const digestBytes = 32;

/**
 * Runs the bench. Prints tables, then the rows as JSON.
 *
 * @returns Rows by average chunk length.
 */
export function runConfigChunksBench(): readonly ConfigChunksRow[] {
	const config = toFleetConfig(11_000, 18_000);
	const plain = toConfigText(config);
	const sealed = sealConfig(plain, undefined)._unsafeUnwrap().text;
	const positions = fc.sample(fc.integer({min: 1, max: config.rules.length - 2}), {numRuns: changeCount, seed: 1});
	const edits = positions.map(position => {
		const edited = plain.replace(`"name":"r${position}"`, `"name":"r${position} since December"`);
		return sealConfig(edited, sealed)._unsafeUnwrap().text;
	});
	const rows = [1024, 2048, 4096, 8192].map(averageLength => measure(sealed, edits, averageLength));
	console.table(rows);
	const parts = [400, 200, 100, 50].map(entries => measureParts(plain, positions, entries));
	console.table(parts);
	console.log(JSON.stringify({bench: 'config-chunks', rows, parts}));
	return rows;
}

export type PartChunksRow = {
	parts: number;
	rootBytes: number;
	/** Bytes of the manifests and missing chunks of the root and of the changed part: mean over the changes. */
	betweenHostsMean: number;
	/** Bytes of the root and of the changed part: mean over the changes. */
	ofPlatformMean: number;
};

/** Returns the bytes of the manifest's digests and of the chunks that are not known yet. */
function toCost({manifest, chunks}: ConfigChunks, known: ReadonlySet<string>): number {
	const missing = [...chunks].filter(([digest]) => !known.has(digest));
	return missing.reduce((sum, [, chunk]) => sum + Buffer.byteLength(chunk), manifest.chunkDigests.length);
}

function measureParts(plain: string, positions: readonly number[], entries: number): PartChunksRow {
	const source = splitConfig(plain, (_, position) => position % entries === 0)._unsafeUnwrap();
	const texts = new Map(source.parts.map(({name, text}) => [name, text]));
	const before = sealParts(source.root, name => texts.get(name), undefined)._unsafeUnwrap();
	const known = new Set([before.text, ...before.parts.map(({text}) => text)].flatMap(text => [...toConfigChunks(text).chunks.keys()]));
	const costs = positions.map(position => {
		const edit = (text: string | undefined) => text?.replace(`"name":"r${position}"`, `"name":"r${position} since December"`);
		const after = sealParts(source.root, name => edit(texts.get(name)), before.text)._unsafeUnwrap();
		const changed = after.parts.filter(({sha256}, i) => sha256 !== before.parts[i]!.sha256);
		const moved = [after.text, ...changed.map(({text}) => text)];
		return {
			hosts: moved.reduce((sum, text) => sum + digestBytes + toCost(toConfigChunks(text), known), 0),
			platform: moved.reduce((sum, text) => sum + Buffer.byteLength(text), 0),
		};
	});
	const mean = (values: readonly number[]) => Math.round(values.reduce((sum, value) => sum + value, 0) / values.length);
	return {
		parts: before.parts.length,
		rootBytes: Buffer.byteLength(before.text),
		betweenHostsMean: mean(costs.map(({hosts}) => hosts)),
		ofPlatformMean: mean(costs.map(({platform}) => platform)),
	};
}

function measure(before: string, edits: readonly string[], averageLength: number): ConfigChunksRow {
	const start = performance.now();
	const held = toConfigChunks(before, {averageLength});
	const cutMs = performance.now() - start;
	let joinMs = 0;
	const costs = edits.map(text => {
		const {manifest, chunks} = toConfigChunks(text, {averageLength});
		const missing = [...chunks].filter(([digest]) => !held.chunks.has(digest));
		const joinStart = performance.now();
		const joined = fromConfigChunks(manifest, digest => held.chunks.get(digest) ?? chunks.get(digest));
		joinMs += performance.now() - joinStart;
		if (!joined.isOk() || joined.value !== text) {
			throw new Error('document joined from chunks differs from the original');
		}

		return {manifest: manifest.chunkDigests.length + 32, chunks: missing.reduce((sum, [, chunk]) => sum + Buffer.byteLength(chunk), 0)};
	});
	const mean = (values: readonly number[]) => Math.round(values.reduce((sum, value) => sum + value, 0) / values.length);
	const manifestBytes = mean(costs.map(({manifest}) => manifest));
	const chunkBytesMean = mean(costs.map(cost => cost.chunks));
	return {
		averageLength,
		documentBytes: Buffer.byteLength(before),
		changes: edits.length,
		manifestBytes,
		chunkBytesMean,
		chunkBytesMax: Math.max(...costs.map(cost => cost.chunks)),
		totalBytesMean: manifestBytes + chunkBytesMean,
		cutMs: Math.round(cutMs * 10) / 10,
		joinMs: Math.round(joinMs / edits.length * 10) / 10,
	};
}
