/** Repeats answers of the stand-in server on their connections. */
import {STATUS_CODES, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type ServerStep} from './to-server-step.js';

/** An answer that was sent. */
export type SentAnswer = {
	status: number;
	headers: Readonly<Record<string, string>>;
	body: string;
};

export type AnswerRepeater = {
	/** Sets which answers are sent once more; none by default. */
	repeat: (isRepeated: (step: ServerStep, status: number) => boolean) => void;
	/** Notes an answer that ends now. */
	note: (req: IncomingMessage, step: ServerStep, answer: SentAnswer) => void;
	/** Sends the repeated answer that is due on the connection of a request, before the answer to that request. */
	sendDue: (req: IncomingMessage) => void;
	/** Number of answers sent once more. */
	count: () => number;
};

function toText({status, headers, body}: SentAnswer): string {
	const head = Object.entries({...headers, 'content-length': String(body.length)}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${head}\r\n${body}`;
}

/**
 * Creates the repeater of one server. It sends an answer once more where the next
 * answer on the connection is expected.
 *
 * @returns The repeater.
 */
export function createAnswerRepeater(): AnswerRepeater {
	const due = new WeakMap<Socket, string>();
	let isRepeated: Parameters<AnswerRepeater['repeat']>[0] = () => false;
	let sent = 0;
	return {
		repeat(next) {
			isRepeated = next;
		},
		note({socket}, step, answer) {
			if (isRepeated(step, answer.status)) {
				due.set(socket, toText(answer));
			}
		},
		sendDue({socket}) {
			const text = due.get(socket);
			if (text !== undefined) {
				due.delete(socket);
				sent++;
				socket.write(text);
			}
		},
		count: () => sent,
	};
}
