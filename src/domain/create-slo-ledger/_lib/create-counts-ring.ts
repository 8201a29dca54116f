import {
	type BadCause, type Counts, countFields, emptyCounts,
} from '../../../_lib/slo/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

const width = countFields.length;
const neverUsed = -1;

/** Counts of a fixed number of recent time steps, in constant memory. */
export type CountsRing = {
	add: (causes: readonly BadCause[], now: Milliseconds) => void;
	/** Returns the counts of one step; age 0 is the step in progress. */
	at: (age: number, now: Milliseconds) => Counts;
	/** Returns the sum over the given number of newest steps. */
	sum: (steps: number, now: Milliseconds) => Counts;
	/** Adds all counts of another ring with the same step and number of slots. */
	merge: (other: CountsRing, now: Milliseconds) => void;
	/** Adds counts to the step of the given age. */
	addAt: (age: number, counts: Counts, now: Milliseconds) => void;
};

/**
 * Creates a ring of counts. Each slot stores the number of its step and is cleared
 * when a later step reuses it, so old counts are never taken for new ones, even
 * after a process was suspended for hours.
 *
 * @param step - Length of one step, in milliseconds.
 * @param slots - Number of steps kept.
 * @returns The ring.
 */
export function createCountsRing(step: Milliseconds, slots: number): CountsRing {
	const counts = new Uint32Array(slots * width);
	const stepOfSlot = new Float64Array(slots).fill(neverUsed);

	function prepareSlot(stepNumber: number): number {
		const slot = stepNumber % slots;
		if (stepOfSlot[slot] !== stepNumber) {
			stepOfSlot[slot] = stepNumber;
			counts.fill(0, slot * width, (slot + 1) * width);
		}

		return slot * width;
	}

	function add(causes: readonly BadCause[], now: Milliseconds): void {
		const base = prepareSlot(Math.floor(now / step));
		counts[base]!++;
		if (causes.length > 0) {
			counts[base + 1]!++;
		}

		for (const cause of causes) {
			counts[base + countFields.indexOf(cause)]!++;
		}
	}

	function addAt(age: number, added: Counts, now: Milliseconds): void {
		const stepNumber = Math.floor(now / step) - age;
		if (added.total === 0 || stepNumber < 0) {
			return;
		}

		const base = prepareSlot(stepNumber);
		for (const [i, field] of countFields.entries()) {
			counts[base + i]! += added[field];
		}
	}

	function sumSteps(newest: number, steps: number): Counts {
		const sums = new Float64Array(width);
		for (let stepNumber = newest; stepNumber > newest - steps && stepNumber >= 0; stepNumber--) {
			const slot = stepNumber % slots;
			if (stepOfSlot[slot] === stepNumber) {
				addSlot(sums, slot);
			}
		}

		return toCounts(sums);
	}

	function addSlot(sums: Float64Array, slot: number): void {
		for (let i = 0; i < width; i++) {
			sums[i]! += counts[(slot * width) + i]!;
		}
	}

	const at = (age: number, now: Milliseconds) => sumSteps(Math.floor(now / step) - age, 1);
	return {
		add,
		at,
		sum: (steps, now) => sumSteps(Math.floor(now / step), Math.min(steps, slots)),
		merge(other, now) {
			for (let age = 0; age < slots; age++) {
				addAt(age, other.at(age, now), now);
			}
		},
		addAt,
	};
}

function toCounts(sums: Float64Array): Counts {
	if (sums[0] === 0) {
		return emptyCounts;
	}

	const [total, bad, lateFirstToken, latePerToken, lateComplete, refused, failed] = sums as unknown as [number, number, number, number, number, number, number];
	return {
		total, bad, lateFirstToken, latePerToken, lateComplete, refused, failed,
	};
}
