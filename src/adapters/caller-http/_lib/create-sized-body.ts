/**
 * The body of an answer that is relayed in pieces and whose length may be known
 * in advance.
 *
 * A host that relays a stored answer learns of the answer's end separately from
 * its last byte, and may lose the host that stores the answer in between. The
 * caller would then have received every byte, and a broken connection. With a
 * known length the answer is ended after its last byte, so a later failure can't
 * break it.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type AnswerHeaders} from './exchange.js';

export type SizedBody = {
	/** Starts an answer. With `length`, the head is sent with the first piece; until then another answer can replace this one. */
	start: (status: number, headers: AnswerHeaders, length: number | undefined) => void;
	/** Writes a piece; if the length is known, ends the answer after its last byte. */
	write: (piece: string | Uint8Array) => boolean;
	/** Ends the answer, or breaks the connection if bytes are missing. */
	end: () => void;
	/** Breaks the connection unless every byte of the answer was written. */
	destroy: () => void;
};

export type BodyParts = {
	open: (status: number, headers: AnswerHeaders) => void;
	write: (piece: string | Uint8Array) => boolean;
	finish: () => void;
	breakOff: () => void;
};

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Whether an answer to this request with this status has a body. */
export function hasBody({method}: IncomingMessage, status: number): boolean {
	return method !== 'HEAD' && !statusesWithoutBody.has(status);
}

/** The content length in bytes that headers state; `undefined` if they state none or the body is empty. */
export function toLength(headers: AnswerHeaders): number | undefined {
	const length = Number(headers['content-length']);
	return Number.isSafeInteger(length) && length > 0 ? length : undefined;
}

/**
 * Creates the body of one answer.
 *
 * @param parts - Functions that send the head, write a piece, end the answer, and break the connection.
 * @returns See {@link SizedBody}.
 */
export function createSizedBody({open, write, finish, breakOff}: BodyParts): SizedBody {
	let openHead: (() => void) | undefined;
	let missingBytes: number | undefined;

	return {
		start(status, headers, length) {
			missingBytes = length;
			if (length === undefined) {
				open(status, headers);
				return;
			}

			openHead = () => {
				open(status, headers);
			};
		},
		write(piece) {
			openHead?.();
			openHead = undefined;
			const isFree = write(piece);
			if (missingBytes === undefined) {
				return isFree;
			}

			missingBytes -= Buffer.byteLength(piece);
			if (missingBytes > 0) {
				return isFree;
			}

			finish();
			return true;
		},
		end() {
			if (missingBytes !== undefined && missingBytes > 0) {
				breakOff();
			} else {
				finish();
			}
		},
		destroy() {
			if (missingBytes === undefined || missingBytes > 0) {
				breakOff();
			}
		},
	};
}
