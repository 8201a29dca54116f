/** Measures the time of admission decisions by length of the queue. */
import {performance} from 'node:perf_hooks';
import {createAdmission} from '../../../src/domain/create-admission/index.js';
import {createRandom} from './arrivals.js';

export type CostRow = {
	waiting: number;
	workspaces: number;
	offerAndFinishMicros: number;
	tickMicros: number;
};

const rounds = 2000;
const ticks = 50;
const tickEveryMs = 50;

/** Returns a row for each length of the queue; requests come from 18,000 workspaces at random. */
export function measureDecisionCost(): CostRow[] {
	return [100, 400, 1600].map(waiting => {
		const random = createRandom(waiting);
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 100, share: 1}, 0);
		let nextId = 0;
		const running: string[] = [];
		const offer = (): void => {
			const id = `r${nextId++}`;
			const answer = admission.offer({
				id,
				pool: 'p',
				class: 'batch',
				workspace: `w${Math.floor(random() * 18_000)}`,
				deadline: 1e9 + (random() * 1e6),
				firstTokenDeadline: 1e9,
				promptTokens: 2000,
				maxTokens: 240,
				queueLimit: waiting + 1,
			}, nextId);
			if (answer.kind === 'admitted') {
				running.push(id);
			}
		};

		for (let i = 0; i < 100 + waiting; i++) {
			offer();
		}

		const startedAt = performance.now();
		for (let i = 0; i < rounds; i++) {
			running.push(...admission.finish(running.shift()!, nextId, {outcome: 'completed'}));
			offer();
		}

		const steppedAt = performance.now();
		for (let i = 0; i < ticks; i++) {
			admission.tick(nextId + (i * tickEveryMs));
		}

		return {
			waiting,
			workspaces: 18_000,
			offerAndFinishMicros: (steppedAt - startedAt) * 1000 / rounds,
			tickMicros: (performance.now() - steppedAt) * 1000 / ticks,
		};
	});
}
