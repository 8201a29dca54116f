/**
 * Simulates placement in one zone: decode servers with slots, prefill servers with a
 * queue, delayed load reports, and routers that share no state. The logical clock
 * advances by one millisecond a step.
 */
import {toSeededRandom} from '../../src/domain/create-placement/_lib/fixtures.js';
import {createAgenda} from './_lib/create-agenda.js';
import {createRequestFlow} from './_lib/create-request-flow.js';
import {createFleet, toRouterName} from './_lib/create-fleet.js';
import {createRouter} from './_lib/create-router.js';
import {createTally} from './_lib/create-tally.js';
import {
	settings, toCapacity, type Outcome, type Scenario,
} from './_lib/scenario.js';

const toExponential = (mean: number, random: () => number): number => -Math.log(1 - random()) * mean;

/** Simulates one scenario and returns its outcome. */
export const simulate = (scenario: Scenario): Outcome => {
	const endMs = scenario.seconds * 1000;
	const agenda = createAgenda(endMs);
	const random = toSeededRandom(scenario.seed);
	const fleet = createFleet(agenda, scenario);
	const routers = Array.from({length: scenario.routers}, (_, i) => createRouter({
		fleet, agenda, strategy: scenario.strategy, name: toRouterName(i), random: toSeededRandom(scenario.seed + 1 + i),
	}));
	const isArbitrated = scenario.strategy.startsWith('reserve') || scenario.strategy === 'grant';
	const tally = createTally(scenario, isArbitrated);
	const {attempt} = createRequestFlow({
		agenda, fleet, tally, scenario, isArbitrated, random,
	});

	const toRouter = () => random() < (scenario.skew ?? 0) ? routers[0]! : routers[Math.floor(random() * routers.length)]!;
	const arrive = (): void => {
		const arrivedAt = agenda.now();
		tally.add(arrivedAt, 'offered');
		attempt(toRouter(), {
			arrivedAt,
			promptTokens: Math.ceil(settings.minPromptTokens + toExponential(settings.promptTokens - settings.minPromptTokens, random)),
			answerTokens: Math.ceil(toExponential(settings.answerTokens, random)),
		}, new Set());
	};

	// Open loop: Poisson arrivals that do not depend on the outcome of earlier requests.
	for (let at = 0; at < endMs; at += toExponential(1000 / (toCapacity(scenario) * scenario.load), random)) {
		agenda.after(at, arrive);
	}

	agenda.run();
	return tally.toOutcome();
};
