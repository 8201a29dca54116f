import {
	type BadCause, type Counts, countFields, emptyCounts,
} from '../../../_lib/slo/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

const width = countFields.length;
const neverUsed = -1;

/** Counts of the last so many steps of time, in fixed memory. */
export type CountsRing = {
	add: (causes: readonly BadCause[], now: Milliseconds) => void;
	/** Counts of one step; age 0 is the step in progress. */
	at: (age: number, now: Milliseconds) => Counts;
	/** Counts of the newest so many steps together. */
	sum: (steps: number, now: Milliseconds) => Counts;
	/** Adds all that another ring of the same shape holds. */
	merge: (other: CountsRing, now: Milliseconds) => void;
	/** Adds counts to the step of an age. */
	addAt: (age: number, counts: Counts, now: Milliseconds) => void;
};

/**
 * Creates a ring of counts. A step's slot is cleared when it is first used
 * again, so a process that slept for hours reads no counts of the past as new.
 *
 * @param step - Length of one step, milliseconds.
 * @param slots - Steps kept.
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
