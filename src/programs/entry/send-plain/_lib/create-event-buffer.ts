/** Cuts a stream of events into whole events and an incomplete rest, at a cost that grows with its length alone. */
import {Buffer} from 'node:buffer';

export type EventBuffer = {
	/** Adds the next bytes; returns all bytes up to the end of the last whole event, if these bytes end one. */
	add: (bytes: Buffer) => Buffer | undefined;
	/** Bytes after the last whole event. */
	rest: () => Buffer;
	/** Length of the rest. */
	size: () => number;
};

/** A blank line ends an event, with either kind of line ending. */
const eventEnds = ['\n\n', '\r\n\r\n'].map(text => Buffer.from(text));

/** Bytes of an end that may lie before the next bytes. */
const seamLength = Math.max(...eventEnds.map(({length}) => length)) - 1;

/** Length up to the end of the last whole event; 0 if there is none. */
function findLastEnd(bytes: Buffer): number {
	return Math.max(...eventEnds.map(end => {
		const at = bytes.lastIndexOf(end);
		return at === -1 ? 0 : at + end.length;
	}));
}

/**
 * Creates the buffer of one stream.
 *
 * @returns The buffer, empty.
 *
 * @example
 * ```ts
 * const buffer = createEventBuffer();
 * buffer.add(Buffer.from('id: 1\n')); // => undefined
 * buffer.add(Buffer.from('\nid: 2')); // => 'id: 1\n\n'
 * buffer.size(); // => 5
 * ```
 */
export function createEventBuffer(): EventBuffer {
	let parts: Buffer[] = [];
	let size = 0;
	let seam: Buffer = Buffer.alloc(0);

	function keep(rest: Buffer): void {
		parts = rest.length === 0 ? [] : [rest];
		size = rest.length;
		seam = rest.subarray(-seamLength);
	}

	return {
		add(bytes) {
			const searched = Buffer.concat([seam, bytes]);
			const end = findLastEnd(searched);
			parts.push(bytes);
			size += bytes.length;
			if (end === 0) {
				seam = searched.subarray(-seamLength);
				return undefined;
			}

			const all = Buffer.concat(parts);
			const wholeLength = all.length - (searched.length - end);
			keep(all.subarray(wholeLength));
			return all.subarray(0, wholeLength);
		},
		rest: () => Buffer.concat(parts),
		size: () => size,
	};
}
