/** Follows a stream of server-sent events to tell whether it stands inside an event. */

/** Position of a stream after the bytes read so far. */
export type EventScanner = {
	/** Reads the next bytes, split anywhere. */
	add: (bytes: Uint8Array) => void;
	/** Whether each event that was begun has been ended by a blank line, and no line is incomplete. */
	isBetweenEvents: () => boolean;
	/** Number of events that were read to their end. */
	count: () => number;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;

/**
 * Creates the scanner of one stream. Lines end with LF, CRLF or CR; a line that
 * begins with a colon is a comment and belongs to no event.
 *
 * @returns The scanner, at the start of the stream.
 *
 * @example
 * ```ts
 * const scanner = createEventScanner();
 * scanner.add(Buffer.from('id: 1\ndata: x\n'));
 * scanner.isBetweenEvents(); // => false
 * scanner.add(Buffer.from('\n'));
 * scanner.isBetweenEvents(); // => true
 * ```
 */
export function createEventScanner(): EventScanner {
	let isInEvent = false;
	let isInLine = false;
	let wasCarriageReturn = false;
	let events = 0;

	function endLine(): void {
		if (!isInLine && isInEvent) {
			events++;
			isInEvent = false;
		}

		isInLine = false;
	}

	function readByte(byte: number): void {
		const isSecondOfPair = wasCarriageReturn && byte === lineFeed;
		wasCarriageReturn = byte === carriageReturn;
		if (isSecondOfPair) {
			return;
		}

		if (byte === lineFeed || byte === carriageReturn) {
			endLine();
			return;
		}

		isInEvent ||= !isInLine && byte !== colon;
		isInLine = true;
	}

	return {
		add(bytes) {
			for (const byte of bytes) {
				readByte(byte);
			}
		},
		isBetweenEvents: () => !isInEvent && !isInLine,
		count: () => events,
	};
}
