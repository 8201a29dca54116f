/** Measures how memory and time grow with size, in one process and for at least three sizes each. */
import {performance} from 'node:perf_hooks';
import {toFleetConfig} from '../../src/domain/_test/to-fleet-config.js';
import {compileRules} from '../../src/domain/compile-rules/index.js';
import {createFleetTable} from '../../src/domain/create-fleet-table/index.js';
import {createSloLedger} from '../../src/domain/create-slo-ledger/index.js';
import {createConfigReader, parseConfig} from '../../src/domain/parse-config/index.js';
import {toConfigText} from '../../src/domain/to-config-text/index.js';
import {type AcceptedConfig, type Config} from '../../src/ports/config.js';
import {type LoadReport} from '../../src/ports/engine.js';
import {measureTable} from '../claims/measure-cost.js';
import {measureLogical} from '../membership/_lib/measure-logical.js';
import {measurePicks} from '../placement/measure-picks.js';
import {measureHeap} from './measure-heap.js';
import {type Fit, type Point, toFit} from './to-fit.js';

export type Slope = Fit & {
	name: string;
	unit: string;
	per: string;
	points: readonly Point[];
};

const workspaceSizes = [1800, 6000, 18_000];
const serverSizes = [225, 900, 2700];
const rounds = 3;

function toSlope(name: string, unit: string, per: string, points: readonly Point[]): Slope {
	return {
		name, unit, per, points, ...toFit(points),
	};
}

function toPoints(sizes: readonly number[], measure: (size: number) => number): Point[] {
	return sizes.map(size => ({size, value: measure(size)}));
}

/** Returns the best time of a few rounds, since other load on the machine slows some of them. */
function timeMs(run: () => unknown): number {
	let best = Infinity;
	for (let round = 0; round < rounds; round++) {
		const startedAt = performance.now();
		run();
		best = Math.min(best, performance.now() - startedAt);
	}

	return best;
}

/** Creates a document with rules and workspaces in the ratio of a document of one megabyte. */
function toDocument(workspaces: number): string {
	return toConfigText(toFleetConfig(Math.round(workspaces * 11 / 18), workspaces));
}

function measureDocument(): Slope[] {
	return [
		toSlope('document', 'bytes', 'workspace', toPoints(workspaceSizes, size => toDocument(size).length)),
		toSlope('reading a document', 'ms', 'workspace', toPoints(workspaceSizes, size => {
			const text = toDocument(size);
			return timeMs(() => parseConfig(text));
		})),
		toSlope('reading a document of which one line changed', 'ms', 'workspace', toPoints(workspaceSizes, size => {
			const text = toDocument(size);
			const read = createConfigReader();
			read(text);
			let edit = 0;
			return timeMs(() => read(text.replace('"name":"r1"', `"name":"edit ${edit++}"`)));
		})),
		toSlope('compiling rules', 'ms', 'workspace', toPoints(workspaceSizes, size => {
			const config = parseConfig(toDocument(size))._unsafeUnwrap();
			return timeMs(() => compileRules(config));
		})),
		toSlope('a parsed configuration', 'bytes', 'workspace', toPoints(workspaceSizes, size => {
			const text = toDocument(size);
			return measureHeap(() => parseConfig(text)._unsafeUnwrap());
		})),
		toSlope('compiled rules beside it', 'bytes', 'workspace', toPoints(workspaceSizes, size => {
			const config = parseConfig(toDocument(size))._unsafeUnwrap();
			return measureHeap(() => compileRules(config));
		})),
	];
}

function toServers(count: number): Config {
	const config = toFleetConfig(2, 1);
	const servers = Array.from({length: count}, (_, i) => ({...config.servers[1]!, id: `decode-${i}`, url: `http://10.0.${Math.floor(i / 250)}.${i % 250}:8000`}));
	return {...config, servers};
}

function toReport(server: string): LoadReport {
	return {
		server,
		role: 'decode',
		model: 'm',
		version: '1',
		adapters: [],
		state: 'serving',
		ageMs: 100,
		slotsTotal: 20,
		slotsUsed: 10,
		queued: 0,
		queuedTokens: 0,
		tokensPerSecond: 50,
		linkBytesPerSecond: 1e9,
		fence: 1,
	};
}

function makeFleetTable(config: Config) {
	const table = createFleetTable();
	const accepted: AcceptedConfig = {
		version: {edition: 1, revision: 1, digest: 'd'}, config, text: '',
	};
	table.setConfig(accepted);
	for (const {id} of config.servers) {
		table.noteLoad(toReport(id), 0);
	}

	return {table, view: table.view(1)};
}

function measureServers(): Slope[] {
	return [
		toSlope('view of a server', 'bytes', 'server', toPoints(serverSizes, size => {
			const config = toServers(size);
			return measureHeap(() => makeFleetTable(config));
		})),
		toSlope('one pick, half used', 'µs', 'server', toPoints([10, ...serverSizes], size => measurePicks(size, 'half used', 2000).meanMicroseconds)),
		toSlope('one pick, all full', 'µs', 'server', toPoints([10, ...serverSizes], size => measurePicks(size, 'all full', 500).meanMicroseconds)),
	];
}

function makeLedger(workspaces: number) {
	const ledger = createSloLedger({host: 'a-1'});
	for (let i = 0; i < workspaces * 3; i++) {
		ledger.addSample({
			class: i % 3 === 0 ? 'batch' : 'quick',
			workspace: `w${i % workspaces}`,
			rule: 'r',
			end: 'complete',
			firstTokenMs: 100,
			perTokenMs: 20,
			completeMs: 2000,
			target: {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000},
		}, i);
	}

	return ledger;
}

function measureMembership(): Slope[] {
	const rows = [[4, 16], [8, 64], [12, 400]].map(([zones, hosts]) => {
		const perZone = Object.fromEntries(Array.from({length: zones!}, (_, i) => [`zone-${i}`, Math.floor(hosts! / zones!) + (i < hosts! % zones! ? 1 : 0)]));
		return measureLogical(perZone);
	});
	const points = (value: (row: typeof rows[number]) => number) => rows.map(row => ({size: row.hosts, value: value(row)}));
	return [
		toSlope('membership, mean host', 'bytes/s', 'host', points(row => row.meanBytesPerSecond)),
		toSlope('membership, busiest host', 'bytes/s', 'host', points(row => row.maxBytesPerSecond)),
		toSlope('death known by all', 'ms', 'host', points(row => row.deadAfterMs)),
	];
}

/**
 * Measures all slopes.
 *
 * @returns A fitted line for each measured quantity.
 */
export function measureSlopes(): Slope[] {
	const claims = measureTable();
	return [
		...measureDocument(),
		...measureServers(),
		toSlope('service-level ledger', 'bytes', 'workspace', toPoints(workspaceSizes, size => measureHeap(() => makeLedger(size)))),
		toSlope('claims of a witness', 'bytes', 'claim', claims.map(({claims: size, bytes}) => ({size, value: size * bytes}))),
		...measureMembership(),
	];
}
