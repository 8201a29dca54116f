/** Multi-part configuration documents for tests and benches. */
import {Buffer} from 'node:buffer';
import {addPlainEnd} from '../../_lib/split-config-end/index.js';
import {toDigest} from '../../_lib/to-digest/index.js';
import {type ConfigPart, type FindPart, type NamedPart} from '../../ports/config.js';
import {toConfigBody} from '../to-config-body/index.js';

const sections = ['hosts', 'servers', 'rules'] as const;

/** For each section, the positions at which its entries are split; entries after the last position stay in the root. */
export type Cuts = Readonly<Record<typeof sections[number], readonly number[]>>;

/**
 * Creates a part.
 *
 * @param name - Its name.
 * @param text - Its text.
 * @returns The part with digest and length.
 */
export function toPart(name: string, text: string): ConfigPart {
	return {
		name, sha256: toDigest(text), bytes: Buffer.byteLength(text), text,
	};
}

/**
 * Splits a document, valid or not, into parts.
 *
 * @param values - Plain values of a single-file document.
 * @param cuts - Positions of the splits.
 * @returns A plain root that names its parts, and the parts.
 */
export function toPartDocument(values: Readonly<Record<string, unknown>>, cuts: Cuts): {root: string; parts: readonly ConfigPart[]} {
	const count = Math.max(...sections.map(section => cuts[section].length));
	const toPieces = (section: typeof sections[number]) => {
		const list = values[section] as readonly unknown[];
		const positions = [0, ...cuts[section].toSorted((a, b) => a - b)];

		return {pieces: positions.slice(1).map((end, i) => list.slice(positions[i], end)), left: list.slice(positions.at(-1))};
	};

	const lists = {hosts: toPieces('hosts'), servers: toPieces('servers'), rules: toPieces('rules')};
	const parts = Array.from({length: count}, (_, i) => toPart(`part-${i}`, addPlainEnd(toConfigBody({
		hosts: lists.hosts.pieces[i] ?? [], servers: lists.servers.pieces[i] ?? [], rules: lists.rules.pieces[i] ?? [],
	}), 'json')));
	const left = {hosts: lists.hosts.left, servers: lists.servers.left, rules: lists.rules.left};
	const root = addPlainEnd(toConfigBody({...values, ...left, parts: toNamed(parts)}), 'json');
	return {root, parts};
}

/** Converts parts to the entries that name them in the root. */
export function toNamed(parts: readonly ConfigPart[]): readonly NamedPart[] {
	return parts.map(({name, sha256, bytes}) => ({name, sha256, bytes}));
}

/** Creates a lookup of the given parts by digest. */
export function findAmong(parts: readonly ConfigPart[]): FindPart {
	const texts = new Map(parts.map(({sha256, text}) => [sha256, text]));
	return ({sha256}) => texts.get(sha256);
}
