/** Collects the parts that a root document names, each checked against the digest in the root. */
import {Buffer} from 'node:buffer';
import {toDigest} from '../../_lib/to-digest/index.js';
import {type ConfigPart, type NamedPart, type FindPart} from '../../ports/config.js';

export type PartCollection = {
	/** Finds the text of a part, provided that the text has the digest and length in the root. */
	find: FindPart;
	/** Returns the parts found so far, in the order in which they were first looked up. */
	parts: () => readonly ConfigPart[];
};

/**
 * Creates a collection for one root document.
 *
 * The platform may serve a truncated part, or an older one under the same key.
 * Neither may take effect in the place of the part that the operator sealed.
 * Comparing digest and length is enough to refuse both, since the root's own seal
 * covers them. Parts in force were checked when they arrived and are not digested
 * again.
 *
 * @param held - Parts in force.
 * @param findText - Finds the text of a part that is not in force.
 * @returns See {@link PartCollection}.
 *
 * @example
 * ```ts
 * const collection = collectParts(accepted.parts ?? [], ({sha256}) => fetched.get(sha256));
 * parseConfig(rootText, {findPart: collection.find});
 * collection.parts(); // => parts of the new document
 * ```
 */
export function collectParts(held: readonly ConfigPart[], findText: FindPart): PartCollection {
	const heldByDigest = new Map(held.map(part => [part.sha256, part]));
	const collected = new Map<string, ConfigPart>();

	function findVerified(part: NamedPart): string | undefined {
		const {sha256, bytes} = part;
		const inForce = heldByDigest.get(sha256);
		if (inForce) {
			return inForce.bytes === bytes ? inForce.text : undefined;
		}

		const text = findText(part);
		return text !== undefined && Buffer.byteLength(text) === bytes && toDigest(text) === sha256 ? text : undefined;
	}

	return {
		find(part) {
			const {name, sha256, bytes} = part;
			const known = collected.get(name);
			if (known?.sha256 === sha256 && known.bytes === bytes) {
				return known.text;
			}

			const text = findVerified(part);
			if (text !== undefined) {
				collected.set(name, {
					name, sha256, bytes, text,
				});
			}

			return text;
		},
		parts: () => [...collected.values()],
	};
}
