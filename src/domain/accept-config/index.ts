/**
 * Decides whether a configuration document comes in force. Every host decides by
 * itself, from what is in force there and the document alone.
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
	/** Revision at which the platform served it, to this host or to the peer; 0 where unknown. */
	revision: number;
	/** Looks for parts that are not in force; needed for a document in parts alone. Their digests are checked here. */
	findPart?: FindPart;
};

/**
 * Two documents sealed from the same edition: both operators meant theirs to
 * follow, and one edit is lost.
 */
export type ConfigConflict = {
	winner: ConfigVersion;
	loser: ConfigVersion;
	message: string;
};

/**
 * - `incomplete`, `altered`, `not-text`: not a whole document.
 * - `parts-missing`: a root whose parts are not all there as it names them. Offered again with them it may be accepted.
 * - `invalid`: whole, with faults of content.
 * - `older`: another document that comes later in the order of versions is in force.
 * - `rival-lost`: sealed from the same edition as the one in force, which wins.
 */
export type ConfigRefusalReason = 'incomplete' | 'altered' | 'not-text' | 'parts-missing' | 'invalid' | 'older' | 'rival-lost';

export type ConfigVerdict =
	| {status: 'accepted'; accepted: AcceptedConfig; conflict: ConfigConflict | undefined; warning: string | undefined}
	/** The same document again. Its version may have a higher revision than before, which then bars those in between. */
	| {status: 'unchanged'; accepted: AcceptedConfig}
	| {status: 'refused'; reason: ConfigRefusalReason; message: string; faults: readonly ConfigFault[]; conflict: ConfigConflict | undefined; missing: readonly NamedPart[]};

export type AcceptConfigOptions = {
	/** `parseConfig` unless given; a reader of `createConfigReader` costs less where documents follow each other. */
	read?: ReadConfig;
};

/**
 * Decides about a document. What is in force is always the highest version among
 * the valid documents seen, so the order in which they come makes no difference,
 * and nothing ever goes back.
 *
 * @param current - What is in force; `undefined` before the first.
 * @param candidate - The document.
 * @param options - How the content is read.
 * @returns Whether it is accepted, is the one in force already, or is refused and why.
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
	const rivalry = current && toConflict(current, version, seal.value);
	if (current && compareConfigVersions(version, current.version) < 0) {
		return rivalry
			? {...toRefusal('rival-lost', rivalry.message), conflict: rivalry}
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
		const message = `the document has ${parsed.error.length} faults and does not come in force, the first at ${toFaultLine(first!)}: run "banyanport check" on it`;
		return {...toRefusal('invalid', message), faults: parsed.error};
	}

	const parts = collection.parts();
	return {
		status: 'accepted',
		accepted: {
			version, config: parsed.value, text: candidate.text, ...(parts.length > 0 && {parts}),
		},
		conflict: rivalry,
		warning: current && toWarning(current.version, version, seal.value),
	};
}

/** Names all that is missing up to a length that a line of a log can hold. */
const maxShownParts = 8;

function toMissingMessage(version: ConfigVersion, missing: readonly NamedPart[]): string {
	const shown = missing.slice(0, maxShownParts).map(part => `${part.name} under ${toPartKey(part)}`).join(', ');
	const more = missing.length > maxShownParts ? ` and ${missing.length - maxShownParts} more` : '';
	return `${toVersionText(version)} does not come in force, since parts are missing or are not as it names them: ${shown}${more}. Publish them, or the root in force again`;
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

	const isNewer = compareConfigVersions(version, current.version) > 0;
	const [winner, loser] = isNewer ? [version, current.version] : [current.version, version];
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

/** A document sealed on top of something else than what is in force may have been written without its edits. */
function toWarning(current: ConfigVersion, version: ConfigVersion, seal: ConfigSeal): string | undefined {
	const isNext = version.edition === current.edition + 1;
	return isNext && seal.kind === 'sealed' && seal.follows !== current.digest
		? `${toVersionText(version)} follows another document than ${toVersionText(current)}, which was in force: compare both with "banyanport diff", an edit may be lost`
		: undefined;
}

function toVersionText({edition, revision, digest}: ConfigVersion): string {
	return `edition ${edition} (revision ${revision}, ${digest.slice(0, 12)})`;
}
