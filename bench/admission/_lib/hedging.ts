/** Compares remedies for stalled transfers: hedging quick requests, or aborting the transfer and restarting the request. */
import {type Scenario} from './arrivals.js';
import {fleets} from './fleets.js';
import {measure} from './measure.js';
import {policies} from './policies.js';
import {simulate} from './simulate.js';

export type HedgeRow = {
	fleet: string;
	load: number;
	stallPart: number;
	hedgeAfterMs: number | undefined;
	giveUpAfterMs: number | undefined;
	quickGood: number;
	batchGood: number;
	quickP99: number;
	/** Fraction of all prefill time whose result was not used, for all causes. */
	wasted: number;
	/** Fraction of all prefill time whose result was dropped with an aborted transfer. */
	wastedStalled: number;
};

/** No remedy, hedging after a delay, and aborting the transfer after a delay. */
const remedies: ReadonlyArray<Pick<Scenario, 'hedgeAfterMs' | 'giveUpAfterMs'>> = [
	{}, {hedgeAfterMs: 400}, {hedgeAfterMs: 800}, {giveUpAfterMs: 100}, {giveUpAfterMs: 250}, {giveUpAfterMs: 400}, {giveUpAfterMs: 800},
];

const nineRouters = policies.find(policy => policy.name === '9 routers')!;

/**
 * Measures each remedy with and without stalled transfers.
 *
 * @param base - Scenario without fleet and load.
 * @returns A row for each fleet, load, fraction of stalled transfers, and remedy.
 */
export function runHedging(base: Omit<Scenario, 'fleet' | 'load'>): HedgeRow[] {
	const cases = fleets.flatMap(fleet => [0.9, 1.5].flatMap(load => [0, 0.02].flatMap(stallPart => remedies.map(remedy => ({
		fleet, load, stallPart, remedy,
	})))));
	return cases.map(({fleet, load, stallPart, remedy}) => {
		const scenario: Scenario = {
			...base, fleet, load, stallPart, stallMs: 3000, ...remedy,
		};
		const figures = measure(scenario, simulate(scenario, nineRouters));
		return {
			fleet: fleet.name,
			load,
			stallPart,
			hedgeAfterMs: remedy.hedgeAfterMs,
			giveUpAfterMs: remedy.giveUpAfterMs,
			quickGood: figures.quickGood,
			batchGood: figures.batchGood,
			quickP99: figures.quickP99,
			wasted: figures.wastedCallerGone + figures.wastedExpired + figures.wastedHedge + figures.wastedStalled,
			wastedStalled: figures.wastedStalled,
		};
	});
}
