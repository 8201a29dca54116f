/**
 * The body of an answer that is passed on in pieces, some of whose lengths are
 * told before. Whoever passes a kept answer on hears of its end apart from its
 * last byte, and the host that holds it may be lost in between. The caller then
 * had every byte of its answer and a broken connection. The length says when it
 * is whole, so nothing that comes later can break it.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type AnswerHeaders} from './exchange.js';

export type SizedBody = {
	/** Starts an answer. With `length`, the head waits for the first piece: until then another answer can take its place. */
	start: (status: number, headers: AnswerHeaders, length: number | undefined) => void;
	/** Writes a piece, and ends the answer with its last byte where its length is known. */
	write: (piece: string | Uint8Array) => boolean;
	/** Ends the answer, or breaks it off when bytes are missing. */
	end: () => void;
	/** Breaks the answer off unless each of its bytes was written. */
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

/** The length that headers tell, bytes; `undefined` when they tell none or there is nothing to wait for. */
export function toLength(headers: AnswerHeaders): number | undefined {
	const length = Number(headers['content-length']);
	return Number.isSafeInteger(length) && length > 0 ? length : undefined;
}

/**
 * Creates the body of one answer.
 *
 * @param parts - What sends its head and its pieces, ends it and breaks it off.
 * @returns Its functions.
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
