/** What pays when some transfers stall: a second copy of quick work, or giving up the transfer and trying again. */
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
	/** Prefill time in vain, all causes, over all prefill time. */
	wasted: number;
	/** The part of it that was given up in a stalled transfer. */
	wastedStalled: number;
};

/** Done nothing about stalls, a second copy, and a transfer given up and tried again. */
const remedies: ReadonlyArray<Pick<Scenario, 'hedgeAfterMs' | 'giveUpAfterMs'>> = [
	{}, {hedgeAfterMs: 400}, {hedgeAfterMs: 800}, {giveUpAfterMs: 100}, {giveUpAfterMs: 250}, {giveUpAfterMs: 400}, {giveUpAfterMs: 800},
];

const nine = policies.find(policy => policy.name === '9 routers')!;

/**
 * @param base - the scenario without its load.
 * @returns a row for each fleet, load, part of stalled transfers and delay.
 */
export function runHedging(base: Omit<Scenario, 'fleet' | 'load'>): HedgeRow[] {
	const cases = fleets.flatMap(fleet => [0.9, 1.5].flatMap(load => [0, 0.02].flatMap(stallPart => remedies.map(remedy => ({
		fleet, load, stallPart, remedy,
	})))));
	return cases.map(({fleet, load, stallPart, remedy}) => {
		const scenario: Scenario = {
			...base, fleet, load, stallPart, stallMs: 3000, ...remedy,
		};
		const figures = measure(scenario, simulate(scenario, nine));
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
