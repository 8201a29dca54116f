/**
 * Decides whether a configuration document takes effect. Every host decides by
 * itself, from the document and the configuration in force at that host.
 */
import {splitConfigEnd} from '../../_lib/split-config-end/index.js';
import {toDigest} from '../../_lib/to-digest/index.js';
import {
	type AcceptedConfig, type ConfigVersion, type FindPart, type NamedPart,
} from '../../ports/config.js';
import {checkSeal, type ConfigSeal} from '../check-seal/index.js';
import {collectParts} from '../collect-parts/index.js';
import {compareConfigVersions} from '../compare-config-versions/index.js';
import {
	type ConfigFault, parseConfig, type ReadConfig, toFaultLine,
} from '../parse-config/index.js';
import {toPartKey} from '../to-part-key/index.js';

/** A document from the platform or a peer. */
export type ConfigCandidate = {
	text: string;
	/** Revision at which the platform served the document to this host or to the peer; 0 if unknown. */
	revision: number;
	/** Finds the text of parts that are not in force; needed only for a document in parts. `acceptConfig` checks the digests. */
	findPart?: FindPart;
};

/**
 * Two documents that were sealed on top of the same edition. Only one of them
 * can take effect, so the edit in the other one is lost.
 */
export type ConfigConflict = {
	winner: ConfigVersion;
	loser: ConfigVersion;
	message: string;
};

/**
 * - `incomplete`, `altered`, `not-text`: the document is not whole.
 * - `parts-missing`: at least one part is missing or does not match its digest in the root. The root may be accepted later, once all parts are found.
 * - `invalid`: the document is whole, but its content has faults.
 * - `older`: the document in force has a higher version.
 * - `rival-lost`: the document in force was sealed on top of the same edition and has the higher version.
 */
export type ConfigRefusalReason = 'incomplete' | 'altered' | 'not-text' | 'parts-missing' | 'invalid' | 'older' | 'rival-lost';

export type ConfigVerdict =
	| {status: 'accepted'; accepted: AcceptedConfig; conflict: ConfigConflict | undefined; warning: string | undefined}
	/** The document is already in force. Its version takes the higher of both revisions, so documents with a revision in between are refused as older. */
	| {status: 'unchanged'; accepted: AcceptedConfig}
	| {status: 'refused'; reason: ConfigRefusalReason; message: string; faults: readonly ConfigFault[]; conflict: ConfigConflict | undefined; missing: readonly NamedPart[]};

export type AcceptConfigOptions = {
	/** Parses the document; `parseConfig` by default. A reader of `createConfigReader` costs less when each document differs little from the last. */
	read?: ReadConfig;
};

/**
 * Decides whether a document takes effect. The configuration in force is always
 * the valid document with the highest version among those seen, so the order in
 * which documents arrive makes no difference, and no host ever returns to an
 * older version.
 *
 * @param current - The configuration in force; `undefined` before the first one.
 * @param candidate - The document.
 * @param options - How the content is read.
 * @returns Whether the document is accepted, is already in force, or is refused and why.
 *
 * @example
 * ```ts
 * const verdict = acceptConfig(current, {text, revision: 12});
 * if (verdict.status === 'refused') log.warn(verdict.message);
 * ```
 */
export function acceptConfig(current: AcceptedConfig | undefined, candidate: ConfigCandidate, {read = parseUncached}: AcceptConfigOptions = {}): ConfigVerdict {
	const digest = toDigest(candidate.text);
	if (current?.version.digest === digest) {
		const revision = Math.max(current.version.revision, candidate.revision);
		const version = {...current.version, revision};
		return {status: 'unchanged', accepted: {...current, version}};
	}

	const seal = checkSeal(candidate.text);
	if (seal.isErr()) {
		return toRefusal(seal.error.kind, seal.error.message);
	}

	const version: ConfigVersion = {edition: seal.value.edition, revision: candidate.revision, digest};
	const conflict = current && toConflict(current, version, seal.value);
	if (current && compareConfigVersions(version, current.version) < 0) {
		return conflict
			? {...toRefusal('rival-lost', conflict.message), conflict}
			: toRefusal('older', toOlderMessage(current.version, version, seal.value));
	}

	const collection = collectParts(current?.parts ?? [], candidate.findPart ?? (() => undefined));
	const parsed = read(candidate.text, collection.find);
	if (parsed.isErr()) {
		const missing = parsed.error.flatMap(fault => fault.missing ?? []);
		if (missing.length > 0) {
			return {...toRefusal('parts-missing', toMissingMessage(version, missing)), faults: parsed.error, missing};
		}

		const [first] = parsed.error;
		const message = `the document has ${parsed.error.length} faults and was not accepted, the first at ${toFaultLine(first!)}: run "banyanport check" on it`;
		return {...toRefusal('invalid', message), faults: parsed.error};
	}

	const parts = collection.parts();
	return {
		status: 'accepted',
		accepted: {
			version, config: parsed.value, text: candidate.text, ...(parts.length > 0 && {parts}),
		},
		conflict,
		warning: current && toWarning(current.version, version, seal.value),
	};
}

/** Number of missing parts that a message names; more would make the log line too long. */
const maxShownParts = 8;

function toMissingMessage(version: ConfigVersion, missing: readonly NamedPart[]): string {
	const shown = missing.slice(0, maxShownParts).map(part => `${part.name} under ${toPartKey(part)}`).join(', ');
	const more = missing.length > maxShownParts ? ` and ${missing.length - maxShownParts} more` : '';
	return `${toVersionText(version)} was not accepted, since these parts are missing or do not match their digests: ${shown}${more}. Publish them, or publish the root in force again`;
}

const parseUncached: ReadConfig = (text, findPart) => parseConfig(text, findPart ? {findPart} : {});

function toRefusal(reason: ConfigRefusalReason, message: string): Extract<ConfigVerdict, {status: 'refused'}> {
	return {
		status: 'refused', reason, message, faults: [], conflict: undefined, missing: [],
	};
}

function toConflict(current: AcceptedConfig, version: ConfigVersion, seal: ConfigSeal): ConfigConflict | undefined {
	if (seal.kind !== 'sealed' || version.edition !== current.version.edition || splitConfigEnd(current.text).kind !== 'sealed') {
		return undefined;
	}

	const isCandidateNewer = compareConfigVersions(version, current.version) > 0;
	const [winner, loser] = isCandidateNewer ? [version, current.version] : [current.version, version];
	const message = `two documents were sealed as edition ${winner.edition}: ${toVersionText(winner)} wins and ${toVersionText(loser)} loses, so its edit is not in force; `
		+ 'repeat that edit on the winner and seal it as the next edition';
	return {winner, loser, message};
}

function toOlderMessage(current: ConfigVersion, version: ConfigVersion, seal: ConfigSeal): string {
	const remedy = seal.kind === 'plain' && version.edition < current.edition
		? `write "edition: ${current.edition}" on the line before "end", or seal it with "banyanport seal --follows" the one in force`
		: 'to bring an old rule list back, publish it as a new edition';
	return `${toVersionText(version)} is older than ${toVersionText(current)}, which is in force and stays: ${remedy}`;
}

/** Warns of a document that was sealed on top of another one than the one in force, since it may lack the edits of the latter. */
function toWarning(current: ConfigVersion, version: ConfigVersion, seal: ConfigSeal): string | undefined {
	const isNext = version.edition === current.edition + 1;
	return isNext && seal.kind === 'sealed' && seal.follows !== current.digest
		? `${toVersionText(version)} follows another document than ${toVersionText(current)}, which was in force: compare both with "banyanport diff", an edit may be lost`
		: undefined;
}

function toVersionText({edition, revision, digest}: ConfigVersion): string {
	return `edition ${edition} (revision ${revision}, ${digest.slice(0, 12)})`;
}
