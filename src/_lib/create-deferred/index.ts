/** A promise with the functions that settle it. */
export type Deferred<T> = {
	promise: Promise<T>;
	resolve: (value: T) => void;
	reject: (reason: Error) => void;
};

/**
 * Creates a promise that is settled from outside. Node 20 has no
 * `Promise.withResolvers`.
 *
 * @returns The promise and its two functions.
 *
 * @example
 * ```ts
 * const {promise, resolve} = createDeferred<number>();
 * resolve(1);
 * await promise; // => 1
 * ```
 */
export function createDeferred<T = void>(): Deferred<T> {
	let resolve!: (value: T) => void;
	let reject!: (reason: Error) => void;
	// eslint-disable-next-line promise/param-names -- the parameters are handed out under their usual names
	const promise = new Promise<T>((resolvePromise, rejectPromise) => {
		resolve = resolvePromise;
		reject = rejectPromise;
	});
	return {promise, resolve, reject};
}
