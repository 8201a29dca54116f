/** Event of the logical clock; events run in order of `at`, then of `order`. */
type Entry = {at: number; order: number; run: () => void};

export type Agenda = {
	readonly now: number;
	schedule: (at: number, run: () => void) => void;
	/** Runs events until none is left. */
	run: () => void;
};

export function createAgenda(): Agenda {
	const heap: Entry[] = [];
	let now = 0;
	let order = 0;

	const isBefore = (a: Entry, b: Entry): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

	function swap(i: number, j: number): void {
		[heap[i], heap[j]] = [heap[j]!, heap[i]!];
	}

	function siftUp(start: number): void {
		for (let i = start; i > 0;) {
			const parent = Math.floor((i - 1) / 2);
			if (!isBefore(heap[i]!, heap[parent]!)) {
				return;
			}

			swap(i, parent);
			i = parent;
		}
	}

	function siftDown(): void {
		for (let i = 0; ;) {
			const [left, right] = [(2 * i) + 1, (2 * i) + 2];
			let least = i;
			if (left < heap.length && isBefore(heap[left]!, heap[least]!)) {
				least = left;
			}

			if (right < heap.length && isBefore(heap[right]!, heap[least]!)) {
				least = right;
			}

			if (least === i) {
				return;
			}

			swap(i, least);
			i = least;
		}
	}

	return {
		get now() {
			return now;
		},
		schedule(at, run) {
			heap.push({at: Math.max(at, now), order: order++, run});
			siftUp(heap.length - 1);
		},
		run() {
			while (heap.length > 0) {
				const first = heap[0]!;
				swap(0, heap.length - 1);
				heap.pop();
				siftDown();
				now = first.at;
				first.run();
			}
		},
	};
}
