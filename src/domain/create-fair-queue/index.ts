/**
 * A queue that is fair between workspaces, with deadline order among workspaces
 * that have been served equally.
 *
 * Implements start-time fair queueing: each workspace has a virtual start time
 * that grows by the cost of its served items, and the workspace with the lowest
 * start time is served first. Workspaces within `windowCost` of the lowest start
 * time count as equal; among them the earliest deadline goes first. State is kept
 * only for workspaces that have queued items or were served recently.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type RequestId, type WorkspaceId} from '../../ports/ids.js';

export type FairQueueItem = {
	id: RequestId;
	workspace: WorkspaceId;
	deadline: Milliseconds;
	/** Cost of serving the item, in the same unit for all items; above 0. */
	cost: number;
};

export type FairQueueOptions = {
	/** Cost by which a workspace may be ahead of the least served one and still be picked by deadline; 0 gives strict fairness, `Infinity` strict deadline order. */
	windowCost?: number;
};

export type FairQueue<Item extends FairQueueItem> = {
	push: (item: Item) => void;
	/** Removes and returns the next item; `undefined` when the queue is empty. */
	shift: () => Item | undefined;
	/** Removes an item by its id without charging its workspace. */
	remove: (id: RequestId) => Item | undefined;
	/** Items in approximate service order, round-robin over the workspaces. */
	list: () => Item[];
	/** Number of items that would be served before a new one, which is not added. */
	countBefore: (item: Item) => number;
	/** Number of queued items of one workspace. */
	countOf: (workspace: WorkspaceId) => number;
	readonly size: number;
	/** Number of workspaces with state. */
	readonly workspaces: number;
};

type WorkspaceState<Item> = {
	/** Virtual time at which the next item of the workspace starts. */
	start: number;
	/** Earliest deadline first. */
	items: Item[];
};

/**
 * Creates an empty queue.
 *
 * @param options - `windowCost`, 0 by default.
 * @returns The queue.
 * @example
 * const queue = createFairQueue();
 * queue.push({id: 'a1', workspace: 'a', deadline: 10, cost: 1});
 * queue.push({id: 'a2', workspace: 'a', deadline: 20, cost: 1});
 * queue.push({id: 'b1', workspace: 'b', deadline: 30, cost: 1});
 * [queue.shift()?.id, queue.shift()?.id, queue.shift()?.id]; // ['a1', 'b1', 'a2']
 */
export function createFairQueue<Item extends FairQueueItem>(options: FairQueueOptions = {}): FairQueue<Item> {
	const windowCost = options.windowCost ?? 0;
	const waiting = new Map<WorkspaceId, WorkspaceState<Item>>();
	/** Virtual start times of workspaces whose last item has just left, so that a workspace that returns is still charged for its served items. */
	const idleStarts = new Map<WorkspaceId, number>();
	const workspaceOf = new Map<RequestId, WorkspaceId>();
	let virtualTime = 0;

	function push(item: Item): void {
		let state = waiting.get(item.workspace);
		if (state === undefined) {
			state = {start: Math.max(virtualTime, idleStarts.get(item.workspace) ?? 0), items: []};
			idleStarts.delete(item.workspace);
			waiting.set(item.workspace, state);
		}

		insertByDeadline(state.items, item);
		workspaceOf.set(item.id, item.workspace);
	}

	function shift(): Item | undefined {
		const state = pickState(waiting, windowCost);
		const item = state?.items.shift();
		if (state === undefined || item === undefined) {
			return undefined;
		}

		workspaceOf.delete(item.id);
		virtualTime = Math.max(virtualTime, state.start);
		state.start += item.cost;
		retireIfEmpty(item.workspace, state);
		return item;
	}

	function remove(id: RequestId): Item | undefined {
		const workspace = workspaceOf.get(id);
		const state = workspace === undefined ? undefined : waiting.get(workspace);
		const index = state?.items.findIndex(item => item.id === id) ?? -1;
		if (workspace === undefined || state === undefined || index === -1) {
			return undefined;
		}

		workspaceOf.delete(id);
		const [item] = state.items.splice(index, 1);
		retireIfEmpty(workspace, state);
		return item;
	}

	function retireIfEmpty(workspace: WorkspaceId, state: WorkspaceState<Item>): void {
		if (state.items.length > 0) {
			return;
		}

		waiting.delete(workspace);
		if (waiting.size === 0) {
			// With an empty queue there is nothing to share, so no state is needed.
			idleStarts.clear();
			virtualTime = 0;
			return;
		}

		idleStarts.set(workspace, state.start);
		if (idleStarts.size > 2 * waiting.size) {
			dropPassed(idleStarts, virtualTime);
		}
	}

	function list(): Item[] {
		const states = [...waiting.values()];
		const keyed = states.flatMap(state => {
			let {start} = state;
			return state.items.map(item => {
				const key = {item, start};
				start += item.cost;
				return key;
			});
		});
		return keyed.sort((a, b) => a.start - b.start || a.item.deadline - b.item.deadline).map(key => key.item);
	}

	function countBefore(item: Item): number {
		const own = waiting.get(item.workspace);
		const ownBefore = own === undefined ? [] : own.items.filter(other => other.deadline <= item.deadline);
		const first = own?.start ?? Math.max(virtualTime, idleStarts.get(item.workspace) ?? 0);
		const start = first + sumOfCosts(ownBefore);
		let count = ownBefore.length;
		for (const [workspace, state] of waiting) {
			if (workspace !== item.workspace) {
				count += countStarts(state, start, item.deadline);
			}
		}

		return count;
	}

	return {
		push,
		shift,
		remove,
		list,
		countBefore,
		countOf: workspace => waiting.get(workspace)?.items.length ?? 0,
		get size() {
			return workspaceOf.size;
		},
		get workspaces() {
			return waiting.size + idleStarts.size;
		},
	};
}

function pickState<Item extends FairQueueItem>(waiting: ReadonlyMap<WorkspaceId, WorkspaceState<Item>>, windowCost: number): WorkspaceState<Item> | undefined {
	let least = Infinity;
	for (const state of waiting.values()) {
		least = Math.min(least, state.start);
	}

	let picked: WorkspaceState<Item> | undefined;
	for (const state of waiting.values()) {
		if (state.start <= least + windowCost && (picked === undefined || isSooner(state, picked))) {
			picked = state;
		}
	}

	return picked;
}

function isSooner<Item extends FairQueueItem>(a: WorkspaceState<Item>, b: WorkspaceState<Item>): boolean {
	const deadlineA = a.items[0]?.deadline ?? Infinity;
	const deadlineB = b.items[0]?.deadline ?? Infinity;
	return deadlineA < deadlineB || (deadlineA === deadlineB && a.start < b.start);
}

function sumOfCosts(items: readonly FairQueueItem[]): number {
	let sum = 0;
	for (const item of items) {
		sum += item.cost;
	}

	return sum;
}

/** Counts the items of a workspace whose virtual start is before the given one; equal starts are ordered by deadline. */
function countStarts<Item extends FairQueueItem>(state: WorkspaceState<Item>, before: number, deadline: Milliseconds): number {
	let {start} = state;
	let count = 0;
	for (const item of state.items) {
		if (start > before || (start === before && item.deadline > deadline)) {
			break;
		}

		count += 1;
		start += item.cost;
	}

	return count;
}

function insertByDeadline<Item extends FairQueueItem>(items: Item[], item: Item): void {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (items[middle]!.deadline <= item.deadline) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	items.splice(low, 0, item);
}

function dropPassed(idleStarts: Map<WorkspaceId, number>, virtualTime: number): void {
	for (const [workspace, start] of idleStarts) {
		if (start <= virtualTime) {
			idleStarts.delete(workspace);
		}
	}
}
