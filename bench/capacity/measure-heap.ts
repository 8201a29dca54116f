/** Measures the heap that a value holds, by garbage collections before and after creating copies of it. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Several copies reduce the weight of memory that the garbage collector frees late. */
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
 * Measures the memory that a value holds.
 *
 * @param make - Creates a new copy of the value; its temporary memory does not count.
 * @returns Bytes on the heap and in array buffers, as the mean of several copies.
 */
export function measureHeap(make: () => unknown): number {
	// Compiled code and caches that the first call leaves behind are not part of the value.
	make();
	const kept: unknown[] = [];
	const before = toHeldBytes();
	for (let i = 0; i < copies; i++) {
		kept.push(make());
	}

	return (toHeldBytes() - before) / kept.length;
}
