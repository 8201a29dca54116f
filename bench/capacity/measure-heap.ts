/** Heap that a value holds, by garbage collection before and after it was made. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function toHeldBytes(): number {
	collect();
	collect();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/**
 * Measures what a value holds.
 *
 * @param make - Makes the value; what it needs for that is not counted.
 * @returns Bytes on the heap and in array buffers, never less than zero.
 */
export function measureHeap(make: () => unknown): number {
	const kept: unknown[] = [];
	const before = toHeldBytes();
	kept.push(make());
	const held = toHeldBytes() - before;
	// The value must be alive until the second reading.
	return kept.length === 1 ? Math.max(0, held) : 0;
}
