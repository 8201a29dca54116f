/** Measures goodput in the seconds after the loss of a zone, by the time at which the remaining routers stop counting the lost one. */
import {type Scenario} from './arrivals.js';
import {type Fleet, fleets} from './fleets.js';
import {type Figures, measure} from './measure.js';
import {policies} from './policies.js';
import {simulate} from './simulate.js';

export type LostZoneRow = {
	fleet: string;
	routers: number;
	/** Whether servers report their places in use: engines do, plain services do not. */
	isUsedReported: string;
	shareKnownAfterMs: number;
	quickGood: number;
	batchGood: number;
	late: number;
	bounces: number;
};

const lostAtMs = 60_000;
/** Time after the loss in which arrivals are measured: until a silent host is declared dead, plus two seconds. */
const measuredMs = 10_000;
const seeds = [1, 2, 3, 4, 5, 6];

type Case = {fleet: Fleet; routers: number; isUsedReported: boolean; shareKnownAfterMs: number};

const cases: readonly Case[] = fleets.flatMap(fleet => [3, 9].flatMap(routers => [true, false].flatMap(isUsedReported => [0, 3000, 8000].map(shareKnownAfterMs => ({
	fleet, routers, isUsedReported, shareKnownAfterMs,
})))));

/**
 * Measures each case as the mean of several seeds.
 *
 * @param base - Scenario without fleet and load.
 * @returns A row for each fleet, number of routers, kind of report, and time at which the routers correct their share.
 */
export function runLostZone(base: Omit<Scenario, 'fleet' | 'load'>): LostZoneRow[] {
	return cases.map(each => toRow(base, each));
}

function toRow(base: Omit<Scenario, 'fleet' | 'load'>, {fleet, routers, isUsedReported, shareKnownAfterMs}: Case): LostZoneRow {
	const policy = {...policies.find(({name}) => name === '9 routers')!, routers, isUsedReported};
	const runs = seeds.map(seed => {
		const scenario: Scenario = {
			...base,
			fleet,
			load: 0.9,
			seed,
			burst: 1,
			warmupMs: lostAtMs,
			horizonMs: lostAtMs + measuredMs,
			endsAtMs: lostAtMs + (3 * measuredMs),
			loss: {atMs: lostAtMs, placesKnownAfterMs: 1500, shareKnownAfterMs},
		};
		return measure(scenario, simulate(scenario, policy));
	});
	const mean = (pick: (run: Figures) => number): number => runs.reduce((sum, run) => sum + pick(run), 0) / runs.length;
	return {
		fleet: fleet.name,
		routers,
		isUsedReported: isUsedReported ? 'reported' : 'not reported',
		shareKnownAfterMs,
		quickGood: mean(run => run.quickGood),
		batchGood: mean(run => run.batchGood),
		late: mean(run => run.late),
		bounces: mean(run => run.bounces),
	};
}
