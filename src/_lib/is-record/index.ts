/**
 * Tells whether a decoded value is a plain object, so that its fields may be looked at.
 *
 * @param value - Anything a codec returned.
 * @returns `true` for objects other than arrays and `null`.
 *
 * @example
 * ```ts
 * isRecord({a: 1}); // => true
 * isRecord([1]); // => false
 * ```
 */
export function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
