/**
 * Writes the body of a streamed answer. All pieces of one turn of the event loop
 * are sent in one write to the socket. The chunked framing is done here, because
 * node writes three buffers for each chunk, which makes the system call slower.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';

export type BodyWriter = {
	/** Sends the head at the end of this turn at the latest. */
	start: () => void;
	/** Queues a piece; `false` asks the caller to wait until the response drains. */
	write: (piece: string | Uint8Array) => boolean;
	end: () => void;
};

/** Number of queued characters or bytes at which they are written immediately instead of at the end of the turn. */
const flushAtLength = 16_384;
const lastChunk = '0\r\n\r\n';

function toChunk(text: string): string {
	return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/**
 * Creates the writer of one answer, whose head has not been sent.
 *
 * @param req - The request.
 * @param res - Its response.
 * @returns The writer.
 */
export function createBodyWriter(req: IncomingMessage, res: ServerResponse): BodyWriter {
	let text = '';
	let bytes: Uint8Array[] = [];
	let byteLength = 0;
	let isScheduled = false;
	let isFramedHere = false;
	let hasWritten = false;

	/** Takes over the chunked framing from node, after the head has been composed and before the first byte of the body. */
	function frameHere(): void {
		if (!hasWritten && res.headersSent && res.chunkedEncoding && req.method !== 'HEAD') {
			isFramedHere = true;
			res.chunkedEncoding = false;
		}
	}

	function takeText(): string {
		const taken = isFramedHere && text !== '' ? toChunk(text) : text;
		text = '';
		return taken;
	}

	function takeBytes(): Buffer {
		const taken = bytes.length === 1 ? Buffer.from(bytes[0]!.buffer, bytes[0]!.byteOffset, bytes[0]!.byteLength) : Buffer.concat(bytes);
		bytes = [];
		byteLength = 0;
		return isFramedHere ? Buffer.concat([Buffer.from(`${taken.length.toString(16)}\r\n`), taken, Buffer.from('\r\n')]) : taken;
	}

	function flush(): void {
		isScheduled = false;
		if (res.destroyed || res.writableEnded) {
			return;
		}

		if (text !== '') {
			frameHere();
			res.write(takeText());
			hasWritten = true;
		}

		if (byteLength > 0) {
			res.write(takeBytes());
			hasWritten = true;
		}

		if (!hasWritten) {
			res.flushHeaders();
		}
	}

	function schedule(): void {
		if (!isScheduled) {
			isScheduled = true;
			setImmediate(flush);
		}
	}

	return {
		start: schedule,
		write(piece) {
			if (typeof piece === 'string') {
				if (byteLength > 0) {
					flush();
				}

				text += piece;
			} else {
				if (text !== '') {
					flush();
				}

				bytes.push(piece);
				byteLength += piece.length;
			}

			if (text.length + byteLength >= flushAtLength) {
				flush();
			} else {
				schedule();
			}

			return !res.writableNeedDrain;
		},
		end() {
			if (res.destroyed || res.writableEnded) {
				return;
			}

			if (byteLength > 0) {
				flush();
			}

			frameHere();
			res.end(isFramedHere ? takeText() + lastChunk : takeText());
		},
	};
}
