import {type PublishedEra} from '../../ports/published.js';

export type EraOrder = 'same' | 'newer' | 'older';

/**
 * Tells how an answer of the platform stands to what is known. Revisions can't be
 * compared over eras: a platform that came back from an older copy gives them out again.
 *
 * @param answered - Era that the answer names; `undefined` where it names none.
 * @param known - Newest era that an answer has named.
 * @returns `newer` ends all that is known by revision; `older` is a late answer and says nothing. Without an era in the answer, revisions alone count.
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

	// Stryker disable next-line EqualityOperator: equal eras have returned above
	return known === undefined || answered > known ? 'newer' : 'older';
}
