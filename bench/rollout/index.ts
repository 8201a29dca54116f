/**
 * Measures the time of a rollout on a logical clock, from the publication of the edition
 * to the end of the last load, and lists the faults that the rollout caused meanwhile.
 */
import {toSeededRandom} from '../../src/domain/create-placement/_lib/fixtures.js';
import {runRollout, type ModelZone} from '../../src/domain/plan-rollout/_test/rollout-model.js';
import {msPerSecond} from '../../src/ports/units.js';

const loadMs = 30 * msPerSecond;
const publishedAt = msPerSecond;
const endAt = 3_600_000;

const shapes: ReadonlyArray<readonly [name: string, zones: readonly ModelZone[]]> = [
	['one zone of 4 and 9', [{prefills: 4, decodes: 9}]],
	['two zones of 2 and 4, 2 and 5', [{prefills: 2, decodes: 4}, {prefills: 2, decodes: 5}]],
	['three zones of 1 and 3, 1 and 3, 2 and 3', [{prefills: 1, decodes: 3}, {prefills: 1, decodes: 3}, {prefills: 2, decodes: 3}]],
	['four zones of 1 and 2, 1 and 2, 1 and 2, 1 and 3', [{prefills: 1, decodes: 2}, {prefills: 1, decodes: 2}, {prefills: 1, decodes: 2}, {prefills: 1, decodes: 3}]],
];

/** Runs the bench for pools of 13 servers and prints a table. */
export function runRolloutBench(): void {
	console.log(`pools of 13 servers, ${loadMs / msPerSecond} s per load, reports up to 3 s late`);
	console.log('| prefill and decode servers | loads at once | seconds | loads | faults |');
	console.log('|---|---|---|---|---|');
	for (const [name, zones] of shapes) {
		for (const storeSlots of [1, 4]) {
			const {doneAt, loads, faults, versions} = runRollout({
				zones, random: toSeededRandom(13), editions: [{at: publishedAt, version: 'v2'}], endAt, maxLagMs: 3000, toLoadMs: () => loadMs, storeSlots,
			});
			const isDone = Object.values(versions).every(version => version === 'v2');
			const seconds = isDone ? Math.round((doneAt - publishedAt) / msPerSecond) : 'not finished';
			console.log(`| ${name} | ${storeSlots} | ${seconds} | ${loads} | ${faults.map(({kind}) => kind).join(', ') || 'none'} |`);
		}
	}
}
