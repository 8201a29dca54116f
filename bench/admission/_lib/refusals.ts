/** Measures how late quick requests are refused, and how many of them would have been in time. */
import {createRandom, type Scenario} from './arrivals.js';
import {fleets} from './fleets.js';
import {measure} from './measure.js';
import {policies, type PolicyTable} from './policies.js';
import {type RequestResult, simulate} from './simulate.js';

export type RefusalRow = {
	fleet: string;
	load: number;
	quickGood: number;
	batchGood: number;
	/** Refused quick requests whose caller did not cancel. */
	refused: number;
	/** Fraction of them that was refused on arrival. */
	atArrival: number;
	/** Time until the refusal as a fraction of the first-token target, for requests that waited. */
	refusedAtP50: number;
	refusedAtP99: number;
	/** Requests refused after more than half, and more than four fifths, of the target. */
	afterHalf: number;
	afterFourFifths: number;
	/** Fraction of a sample that would have been in time if that request alone had not been refused, for refusals on arrival and after a wait. */
	wouldHaveMadeAtArrival: number;
	wouldHaveMadeWaiting: number;
};

/** Refused requests of each kind that are replayed for one row. */
const defaultSampleSize = 8;

const nineRouters = policies.find(policy => policy.name === '9 routers')!;

/**
 * Measures the refusals of each fleet at several loads.
 *
 * @param base - Scenario without fleet and load.
 * @param options - `table`: policy, nine routers by default; `sampleSize`: refused requests of each kind that are replayed.
 * @returns A row for each fleet and load.
 */
export function runRefusals(base: Omit<Scenario, 'fleet' | 'load'>, options: {table?: PolicyTable; sampleSize?: number} = {}): RefusalRow[] {
	const {table = nineRouters, sampleSize = defaultSampleSize} = options;
	return fleets.flatMap(fleet => [0.9, 1.1, 1.5].map(load => toRefusalRow({...base, fleet, load}, table, sampleSize)));
}

function toRefusalRow(scenario: Scenario, table: PolicyTable, sampleSize: number): RefusalRow {
	const results = simulate(scenario, table);
	const {quickGood, batchGood} = measure(scenario, results);
	const refused = results.filter(({arrival, fate}) => arrival.class === 'quick' && fate === 'refused' && arrival.leavesAt === Infinity);
	const atArrival = refused.filter(({waitMs}) => waitMs === 0);
	const waited = refused.filter(({waitMs}) => waitMs > 0);
	const parts = waited.map(({arrival, waitMs}) => waitMs / arrival.shape.firstTokenMs).sort((a, b) => a - b);
	const toPart = (share: number): number => parts[Math.min(parts.length - 1, Math.floor(share * parts.length))] ?? 0;
	return {
		fleet: scenario.fleet.name,
		load: scenario.load,
		quickGood,
		batchGood,
		refused: refused.length,
		atArrival: atArrival.length / Math.max(1, refused.length),
		refusedAtP50: toPart(0.5),
		refusedAtP99: toPart(0.99),
		afterHalf: parts.filter(part => part > 0.5).length,
		afterFourFifths: parts.filter(part => part > 0.8).length,
		wouldHaveMadeAtArrival: toWouldHaveMade(scenario, table, toSample(atArrival, sampleSize, scenario.seed)),
		wouldHaveMadeWaiting: toWouldHaveMade(scenario, table, toSample(waited, sampleSize, scenario.seed)),
	};
}

function toSample(refused: readonly RequestResult[], size: number, seed: number): readonly RequestResult[] {
	const random = createRandom(seed + 3);
	return refused.length <= size ? refused : Array.from({length: size}, () => refused[Math.floor(random() * refused.length)]!);
}

/** Replays the run for each request of a sample, with that request alone never refused. */
function toWouldHaveMade(scenario: Scenario, table: PolicyTable, sample: readonly RequestResult[]): number {
	const made = sample.filter(({arrival: {id}}) => {
		const replayed = simulate(scenario, table, {exemptId: id}).find(({arrival}) => arrival.id === id);
		return replayed?.fate === 'good';
	});
	return made.length / Math.max(1, sample.length);
}
