/** Measures what cancelling requests saves, by the stage at which their callers left. */
import {type Scenario} from './arrivals.js';
import {fleets, toHoldMs, toPrefillMs} from './fleets.js';
import {measure} from './measure.js';
import {policies} from './policies.js';
import {type RequestResult, simulate} from './simulate.js';

export type CancelRow = {
	fleet: string;
	stage: string;
	count: number;
	/** Means over the batch requests whose caller cancelled at this stage. */
	prefillSavedMs: number;
	prefillWastedMs: number;
	placeSavedMs: number;
};

export type CancelGain = {fleet: string; cancels: 'acted on' | 'ignored'; quickGood: number; batchGood: number};

const nineRouters = policies.find(policy => policy.name === '9 routers')!;

/**
 * Simulates each fleet with cancels acted on and with cancels ignored.
 *
 * @param base - Scenario without fleet; `cancelPart` is replaced by a third.
 * @returns `stages`: a row for each fleet and stage; `gains`: goodput of the requests whose caller did not cancel.
 */
export function runCancels(base: Omit<Scenario, 'fleet'>): {stages: CancelRow[]; gains: CancelGain[]} {
	const stages: CancelRow[] = [];
	const gains: CancelGain[] = [];
	for (const fleet of fleets) {
		for (const isCancelIgnored of [false, true]) {
			const scenario: Scenario = {
				...base, fleet, cancelPart: 1 / 3, isCancelIgnored,
			};
			const results = simulate(scenario, nineRouters);
			const {quickGood, batchGood} = measure(scenario, results);
			gains.push({
				fleet: fleet.name, cancels: isCancelIgnored ? 'ignored' : 'acted on', quickGood, batchGood,
			});
			if (!isCancelIgnored) {
				stages.push(...toStages(fleet.name, results));
			}
		}
	}

	return {stages, gains};
}

function toStages(fleet: string, results: readonly RequestResult[]): CancelRow[] {
	return (['waiting', 'prefill-queue', 'prefill', 'transfer', 'decode'] as const).map(stage => {
		const left = results.filter(result => result.leftAt === stage && result.arrival.class === 'batch');
		const mean = (pick: (result: RequestResult) => number): number => {
			let total = 0;
			for (const result of left) {
				total += pick(result);
			}

			return total / Math.max(1, left.length);
		};

		return {
			fleet,
			stage,
			count: left.length,
			prefillSavedMs: mean(result => toPrefillMs(result.arrival.shape) - result.prefillMs),
			prefillWastedMs: mean(result => result.wastedMs['caller-gone']),
			placeSavedMs: mean(result => Math.max(0, toHoldMs(result.arrival.shape) - result.heldMs)),
		};
	});
}
