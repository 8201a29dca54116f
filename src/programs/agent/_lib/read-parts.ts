/**
 * Reads the parts of a new root document from the platform.
 *
 * A root names up to hundreds of parts, and the platform has some 2,000 reads a
 * second for all hosts. One edit changes a few, which are read at once; more
 * are read with a gap between them. Hosts that know their peers are two to six
 * a zone at this, so 72 of them make about 1,440 reads a second at most; 400
 * that start together and know nobody yet make about 1,200, beside 800 of root
 * and list of hosts.
 */
import {toDigest} from '../../../_lib/to-digest/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {toPartKey} from '../../../domain/to-part-key/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type FindPart, type NamedPart} from '../../../ports/config.js';
import {type Platform, type PlatformFailure} from '../../../ports/platform.js';

/** Parts that are read without a gap by a host that knows others. */
const readsWithoutGap = 2;
const gapMs = 50;
const gapAloneMs = 333;

/** Enough for staff to see what is wrong; with this many missing the others are not asked for. */
const maxMissingParts = 16;

export type ReadPartsOptions = {
	platform: Pick<Platform, 'read'>;
	/** Whether this host should go on reading: it is a reader, and no peer has what it looks for. */
	isReader: () => boolean;
	/** Whether it has heard of no other host. */
	isAlone: () => boolean;
	onRead: () => void;
	onFailure: (failure: PlatformFailure) => void;
	random: Random;
	signal: AbortSignal;
};

export type PartReader = {
	/** Looks among those that were read for the last root. */
	toText: FindPart;
	/**
	 * Reads parts. What was read is kept until it is not asked for any more, so
	 * that a platform that fails in between is not asked again for all.
	 *
	 * @param missing - The parts.
	 * @param isWanted - Whether they still are; asked before each read.
	 * @returns Whether all was answered, be it that a part is missing; `false` when it should be tried again.
	 */
	read: (missing: readonly NamedPart[], isWanted: () => boolean) => Promise<boolean>;
	/** Lets go of what was read, once it is in force or refused for good. */
	forget: () => void;
};

/**
 * Creates it.
 *
 * @param options - See {@link ReadPartsOptions}.
 * @returns See {@link PartReader}.
 */
export function createPartReader({platform, isReader, isAlone, onRead, onFailure, random, signal}: ReadPartsOptions): PartReader {
	let texts: ReadonlyMap<string, string> = new Map();

	/** Reads one; returns its text, `undefined` where it is missing, or why it was not read. */
	async function readOne(part: NamedPart) {
		onRead();
		const result = await platform.read(toPartKey(part));
		return result.map(value => value?.value);
	}

	return {
		forget() {
			texts = new Map();
		},
		toText: ({sha256}) => texts.get(sha256),
		async read(missing, isWanted) {
			const kept = new Map(missing.flatMap(({sha256}): Array<[string, string]> => texts.has(sha256) ? [[sha256, texts.get(sha256)!]] : []));
			texts = kept;
			let missingParts = 0;
			for (const [i, part] of missing.filter(({sha256}) => !kept.has(sha256)).entries()) {
				if (i >= readsWithoutGap || isAlone()) {
					const gap: Milliseconds = isAlone() ? gapAloneMs : gapMs;
					await waitFor(gap * (0.5 + random()), signal);
				}

				if (signal.aborted || !isReader() || !isWanted()) {
					return false;
				}

				const text = await readOne(part);
				if (text.isErr()) {
					onFailure(text.error);
					return false;
				}

				// What is cut off or of another edition is not kept, or it would never be read again.
				if (text.value !== undefined && toDigest(text.value) === part.sha256) {
					kept.set(part.sha256, text.value);
				} else {
					missingParts += 1;
				}

				if (missingParts >= maxMissingParts) {
					break;
				}
			}

			return true;
		},
	};
}
