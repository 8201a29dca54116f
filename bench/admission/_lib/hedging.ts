/** Whether starting quick work a second time pays when some transfers stall. */
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
	quickGood: number;
	batchGood: number;
	quickP99: number;
	/** Prefill time in vain, all causes, over all prefill time. */
	wasted: number;
};

const nine = policies.find(policy => policy.name === '9 routers')!;

/**
 * @param base - the scenario without its load.
 * @returns a row for each fleet, load, part of stalled transfers and delay.
 */
export function runHedging(base: Omit<Scenario, 'fleet' | 'load'>): HedgeRow[] {
	const cases = fleets.flatMap(fleet => [0.9, 1.5].flatMap(load => [0, 0.02].flatMap(stallPart => [undefined, 400, 800].map(hedgeAfterMs => ({
		fleet, load, stallPart, hedgeAfterMs,
	})))));
	return cases.map(({fleet, load, stallPart, hedgeAfterMs}) => {
		const scenario: Scenario = {
			...base, fleet, load, stallPart, stallMs: 3000, ...(hedgeAfterMs !== undefined && {hedgeAfterMs}),
		};
		const figures = measure(scenario, simulate(scenario, nine));
		return {
			fleet: fleet.name,
			load,
			stallPart,
			hedgeAfterMs,
			quickGood: figures.quickGood,
			batchGood: figures.batchGood,
			quickP99: figures.quickP99,
			wasted: figures.wastedCallerGone + figures.wastedExpired + figures.wastedHedge,
		};
	});
}
