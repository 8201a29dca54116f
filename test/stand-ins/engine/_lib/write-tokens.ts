/** Writes the tokens that a reader of a stream has not received yet, correctly or with the fault that a switch sets. */
import {type ServerResponse} from 'node:http';
import {resetConnection} from '../../_lib/http-server.js';
import {takeFault} from './take-fault.js';
import {type EngineFaults, type StreamFaultKind} from './types.js';
import {type Stream} from './create-streams.js';

export type Reader = {
	res: ServerResponse;
	/** Offset of the next token to send. */
	sent: number;
	/** Offset at which this reader began. */
	start: number;
	isStalled: boolean;
};

type Write = {stream: Stream; reader: Reader; others: ReadonlyMap<string, Stream>; faults: EngineFaults};

const oversizedBytes = 3 * 1024 * 1024;

const toLine = (stream: Stream, offset: number, end: number, changes: {attempt?: number} = {}): string => {
	const tokens: string[] = [];
	for (let at = offset; at < end; at++) {
		tokens.push(stream.answer(at));
	}

	const finish = end >= stream.maxTokens ? 'length' : undefined;
	return JSON.stringify({
		requestId: stream.key.requestId, attempt: stream.key.attempt, offset, tokens, finish, ...changes,
	}) + '\n';
};

const writeCorrect = ({stream, reader}: Write, end: number): void => {
	reader.res.write(toLine(stream, reader.sent, end));
	reader.sent = end;
	if (end >= stream.maxTokens) {
		reader.res.end();
	}
};

const writeCrossed = (write: Write, end: number): void => {
	const {stream, reader, others} = write;
	for (const other of others.values()) {
		const otherReader = [...other.readers][0];
		if (other !== stream && otherReader !== undefined && !otherReader.res.writableEnded) {
			otherReader.res.write(toLine(stream, reader.sent, end));
		}
	}

	writeCorrect(write, end);
};

const writeFaulty = (write: Write, kind: StreamFaultKind, end: number): void => {
	const {stream, reader} = write;
	switch (kind) {
		case 'short': {
			reader.res.end();
			break;
		}

		case 'reset': {
			resetConnection(reader.res);
			break;
		}

		case 'stall': {
			reader.isStalled = true;
			break;
		}

		case 'garbage': {
			reader.res.write('{"requestId": "half a li\n');
			reader.isStalled = true;
			break;
		}

		case 'oversized': {
			reader.res.write('x'.repeat(oversizedBytes));
			reader.isStalled = true;
			break;
		}

		case 'crossed': {
			writeCrossed(write, end);
			break;
		}

		case 'duplicated': {
			reader.res.write(toLine(stream, reader.sent, end));
			writeCorrect(write, end);
			break;
		}

		case 'skipped': {
			reader.sent += 1;
			writeCorrect(write, Math.max(end, reader.sent));
			break;
		}

		case 'wrong-attempt': {
			reader.res.write(toLine(stream, reader.sent, end, {attempt: stream.key.attempt + 1}));
			writeCorrect(write, end);
			break;
		}
	}
};

/** Writes the tokens that have become ready since the last time. */
export const writeTokens = (write: Write): void => {
	const {stream, reader, faults} = write;
	const {res} = reader;
	if (reader.isStalled || res.writableEnded || res.destroyed || res.writableNeedDrain) {
		return;
	}

	const ready = Math.floor(stream.progress);
	const isAllSent = reader.sent >= ready;
	if (isAllSent && ready < stream.maxTokens) {
		return;
	}

	const fault = faults.stream;
	const atToken = fault?.atToken ?? 0;
	// Without a token at or after its offset, a fault would be counted as applied although nothing wrong was sent.
	const isBeforeFault = ready <= atToken && ready < stream.maxTokens;
	if (fault === undefined || isBeforeFault) {
		writeCorrect(write, ready);
		return;
	}

	// Sends the tokens before the offset of the fault correctly.
	if (reader.sent < atToken) {
		writeCorrect(write, Math.min(atToken, ready));
	}

	if (!res.writableEnded) {
		if (takeFault(fault)) {
			writeFaulty(write, fault.kind, ready);
		} else {
			writeCorrect(write, ready);
		}
	}
};
