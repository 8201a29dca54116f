/** Splits a document in one file into a root and parts that are not sealed yet. */
import {err, ok, type Result} from 'neverthrow';
import {addPlainEnd, splitConfigEnd} from '../../_lib/split-config-end/index.js';
import {
	type ConfigFault, parseConfig, type ParseConfigOptions, readPlainValues,
} from '../parse-config/index.js';
import {toConfigBody} from '../to-config-body/index.js';

/** A section whose entries may be in parts. */
export type PartSection = 'hosts' | 'servers' | 'rules';

export type SplitConfig = {
	/** The root, which names the parts and has all sections and entries that are not in a part. */
	root: string;
	parts: ReadonlyArray<{name: string; text: string}>;
};

const sections: readonly PartSection[] = ['hosts', 'servers', 'rules'];

/**
 * Splits a document. The last rule stays in the root, since it is the catch-all and
 * must follow the rules of all parts. `sealParts` joins root and parts to an
 * equivalent document.
 *
 * @param text - A valid document in one file; its seal is not kept.
 * @param isCut - Tells by section and position whether an entry begins a new part; the first entry of a section always does.
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
