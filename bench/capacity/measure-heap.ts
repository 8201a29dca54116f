/** Heap that a value holds, by garbage collection before and after copies of it were made. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Several copies, so that what the collector gives back late weighs little. */
const copies = 8;
const collections = 4;

function toHeldBytes(): number {
	for (let i = 0; i < collections; i++) {
		collect();
	}

	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/**
 * Measures what a value holds.
 *
 * @param make - Makes the value anew; what it needs for that is not counted.
 * @returns Bytes on the heap and in array buffers, the mean of several copies.
 */
export function measureHeap(make: () => unknown): number {
	// What a first call leaves behind (compiled code, caches) is no part of the value.
	make();
	const kept: unknown[] = [];
	const before = toHeldBytes();
	for (let i = 0; i < copies; i++) {
		kept.push(make());
	}

	return (toHeldBytes() - before) / kept.length;
}
