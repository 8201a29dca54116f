/**
 * Reads the parts of a new root document from the platform.
 *
 * A root references up to hundreds of parts, and the platform allows about 2,000
 * reads a second for all hosts together. One edit changes few parts, which are
 * read without a gap; further parts are read with a gap in between. Where hosts
 * know their peers, two to six hosts of each zone read, so 72 readers make at
 * most about 1,440 reads a second. 400 hosts that start together and have not
 * heard of each other yet make about 1,200 reads a second, besides 800 for roots
 * and host lists.
 */
import {toDigest} from '../../../_lib/to-digest/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {toPartKey} from '../../../domain/to-part-key/index.js';
import {type Random} from '../../../ports/clock.js';
import {type FindPart, type NamedPart} from '../../../ports/config.js';
import {type Platform, type PlatformFailure} from '../../../ports/platform.js';
import {type ReadPace} from './to-read-pace.js';

/** Number of missing parts after which reading stops: enough to show staff what is wrong. */
const maxMissingParts = 16;

export type ReadPartsOptions = {
	platform: Pick<Platform, 'read'>;
	/** Whether this host should continue to read: it is one of its zone's readers, and no peer has the parts. */
	isReader: () => boolean;
	/** Present pace; asked before each read. */
	pace: () => ReadPace;
	onRead: () => void;
	onFailure: (failure: PlatformFailure) => void;
	random: Random;
	signal: AbortSignal;
};

export type PartReader = {
	/** Finds a part among those that were read for the last root. */
	toText: FindPart;
	/**
	 * Reads parts. Texts are kept until a later call no longer asks for them, so
	 * that after a failure of the platform only the remaining parts are read.
	 *
	 * @param missing - The parts.
	 * @param isWanted - Whether the parts are still wanted; called before each read.
	 * @returns Whether the platform answered every read, even if parts are missing; `false` when reading should be retried.
	 */
	read: (missing: readonly NamedPart[], isWanted: () => boolean) => Promise<boolean>;
	/** Drops the texts, once the document is in force or finally refused. */
	forget: () => void;
};

/**
 * Creates the reader.
 *
 * @param options - See {@link ReadPartsOptions}.
 * @returns See {@link PartReader}.
 */
export function createPartReader({platform, isReader, pace, onRead, onFailure, random, signal}: ReadPartsOptions): PartReader {
	let texts: ReadonlyMap<string, string> = new Map();

	/** Reads one part; returns its text, `undefined` if the platform does not have it, or the failure. */
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
				const {readsWithoutGap, gapMs} = pace();
				if (i >= readsWithoutGap) {
					await waitFor(gapMs * (0.5 + random()), signal);
				}

				if (signal.aborted || !isReader() || !isWanted()) {
					return false;
				}

				const text = await readOne(part);
				if (text.isErr()) {
					onFailure(text.error);
					return false;
				}

				// A text that is truncated or of another edition is not kept, or the part would never be read again.
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
