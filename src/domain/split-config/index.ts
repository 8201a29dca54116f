/** Splits a document in one file into a root and parts, not sealed yet. */
import {err, ok, type Result} from 'neverthrow';
import {addPlainEnd, splitConfigEnd} from '../../_lib/split-config-end/index.js';
import {
	type ConfigFault, parseConfig, type ParseConfigOptions, readPlainValues,
} from '../parse-config/index.js';
import {toConfigBody} from '../to-config-body/index.js';

/** A section whose entries may stand in parts. */
export type PartSection = 'hosts' | 'servers' | 'rules';

export type SplitConfig = {
	/** Names the parts, and has all that does not stand in them. */
	root: string;
	parts: ReadonlyArray<{name: string; text: string}>;
};

const sections: readonly PartSection[] = ['hosts', 'servers', 'rules'];

/**
 * Splits a document. The last rule stays in the root, since it takes whatever
 * no rule before it takes. Put together by `sealParts` the document means what
 * it meant.
 *
 * @param text - A valid document in one file; its seal is not kept.
 * @param isCut - Whether a new part begins with an entry, by section and position; it begins with the first in any case.
 * @param options - Name of the file for faults.
 * @returns Root and parts in JSON, or the faults of the document.
 *
 * @example
 * ```ts
 * const {root, parts} = splitConfig(text, (section, position) => position % 100 === 0)._unsafeUnwrap();
 * parts[0].name; // => 'hosts-001'
 * ```
 */
export function splitConfig(text: string, isCut: (section: PartSection, position: number) => boolean, options: ParseConfigOptions = {}): Result<SplitConfig, readonly ConfigFault[]> {
	const end = splitConfigEnd(text);
	const plain = end.kind === 'missing' ? text : addPlainEnd(end.body, end.format);
	const parsed = parseConfig(plain, {...options, maxYamlBytes: Infinity});
	if (parsed.isErr()) {
		return err(parsed.error);
	}

	const {hosts, servers, rules, ...rest} = readPlainValues(plain) as Record<string, unknown> & Record<PartSection, readonly unknown[]>;
	const lists = {hosts, servers, rules: rules.slice(0, -1)};
	const parts = sections.flatMap(section => cut(lists[section], position => isCut(section, position)).map((entries, i) => ({
		name: `${section}-${String(i + 1).padStart(3, '0')}`,
		text: addPlainEnd(toConfigBody({[section]: entries}), 'json'),
	})));
	const named = parts.length > 0 ? {parts: parts.map(({name}) => name)} : {};
	const root = {
		...named, ...rest, hosts: [], servers: [], rules: rules.slice(-1),
	};
	return ok({root: addPlainEnd(toConfigBody(root), 'json'), parts});
}

function cut(entries: readonly unknown[], isCut: (position: number) => boolean): ReadonlyArray<readonly unknown[]> {
	const pieces: unknown[][] = [];
	for (const [position, entry] of entries.entries()) {
		if (position === 0 || isCut(position)) {
			pieces.push([]);
		}

		pieces.at(-1)!.push(entry);
	}

	return pieces;
}
