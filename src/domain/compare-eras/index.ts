import {type PublishedEra} from '../../ports/published.js';

export type EraOrder = 'same' | 'newer' | 'older';

/**
 * Compares the era of an answer of the platform with the newest known era. Revisions can't
 * be compared across eras: a platform that was restored from an older copy reuses them.
 *
 * @param answered - Era that the answer names; `undefined` if the answer names none.
 * @param known - Newest era that any earlier answer named; `undefined` if none did.
 * @returns `newer` if all known revisions are invalid; `older` if the answer is stale; `same` if revisions can be compared, also when the answer names no era.
 *
 * @example
 * ```ts
 * compareEras(4, 3); // => 'newer'
 * ```
 */
export function compareEras(answered: PublishedEra | undefined, known: PublishedEra | undefined): EraOrder {
	if (answered === undefined || answered === known) {
		return 'same';
	}

	// Stryker disable next-line EqualityOperator: equal eras return above
	return known === undefined || answered > known ? 'newer' : 'older';
}
