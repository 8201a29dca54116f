/** Reads the list of parts of a root document. */
import {type NamedPart} from '../../../ports/config.js';
import {bytesPerMebibyte} from '../../../ports/units.js';
import {type FaultSink, type Path} from './faults.js';
import {
	listOf, type Reader, record, required, text, integer,
} from './readers.js';

/** A root that names 512 parts takes about 60 KB, and every change sends the whole root again. */
const maxParts = 512;

/** Limit for root and parts together. A host holds two versions of the document in memory during a change, and the entry receives a document in one frame of at most 2 MiB. */
const maxTotalBytes = 1.5 * bytesPerMebibyte;

const partName = text(/^[a-zA-Z\d][\w-]{0,63}$/, 'a name of letters, digits, "-" and "_" (at most 64)');
const digest = text(/^[\da-f]{64}$/, 'a SHA-256 in lower-case hex');

const sealedPart: Reader<NamedPart> = record<NamedPart>({
	name: required(partName), sha256: required(digest), bytes: required(integer(1, bytesPerMebibyte)),
});

/** Reads a part of a source that is not sealed yet, which is named without digest and length. */
const unsealedPart: Reader<NamedPart> = (value, path, faults) => {
	const name = partName(value, path, faults);
	return name === undefined ? undefined : {name, sha256: '', bytes: 0};
};

/**
 * Reads the list of parts.
 *
 * @param value - The value of `parts`.
 * @param rootBytes - Length of the root document, in bytes.
 * @param isSource - Whether parts may be named without digest and length.
 * @param faults - Where faults go.
 * @returns The parts; not to be used when there were faults.
 */
export function readNamedParts(value: unknown, rootBytes: number, isSource: boolean, faults: FaultSink): readonly NamedPart[] {
	const path: Path = ['parts'];
	const readPart: Reader<NamedPart> = (entry, at, sink) => {
		if (typeof entry !== 'string') {
			return sealedPart(entry, at, sink);
		}

		if (!isSource) {
			sink.add(at, `the part ${JSON.stringify(entry)} is named without its digest`, 'publish what "banyanport seal" writes for the folder');
		}

		return unsealedPart(entry, at, sink);
	};

	const named = listOf(readPart, 1)(value, path, faults) ?? [];
	const names = named.map(({name}) => name);
	const duplicate = names.findIndex((name, i) => names.indexOf(name) < i);
	if (duplicate !== -1) {
		faults.add([...path, duplicate], `the part ${JSON.stringify(names[duplicate])} is named twice`, 'name it once');
	}

	if (named.length > maxParts) {
		faults.add(path, `there are ${named.length} parts, and hosts accept at most ${maxParts}`, 'merge parts');
	}

	const total = named.reduce((sum, {bytes}) => sum + bytes, rootBytes);
	if (total > maxTotalBytes) {
		faults.add(path, `root and parts have ${total} bytes together, and hosts accept at most ${maxTotalBytes}`, 'name workspaces in lists and share routes');
	}

	return named;
}
