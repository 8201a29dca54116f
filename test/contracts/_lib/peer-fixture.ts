/** What the tests of connections between peers share: a listener, a limit on waiting, and raw bytes. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {encode} from 'cbor-x';
import {type ResultAsync} from 'neverthrow';
import {
	listenPeers, type ListenOptions, type PeerFailure, type PeerHello,
} from '../../../src/adapters/peer-tcp/index.js';

export const deadlineMs = 10_000;
export const hello: PeerHello = {
	host: 'dvorana-a-1', zone: 'dvorana-a', role: 'agent', incarnation: 1,
};
export const callerHello: PeerHello = {...hello, host: 'dvorana-b-1', zone: 'dvorana-b'};
export const helloFrame = {type: 'hello', protocol: 1, ...callerHello};

async function isOver(signal: AbortSignal): Promise<boolean> {
	try {
		await sleep(deadlineMs, undefined, {signal});
		return true;
	} catch {
		return false;
	}
}

/** The outcome of a promise; rejects when it takes too long. */
export async function within<T>(promise: Promise<T>): Promise<T> {
	const abort = new AbortController();
	const late = (async (): Promise<T> => {
		const over = await isOver(abort.signal);
		if (over) {
			throw new Error(`Nothing happened within ${deadlineMs} ms.`);
		}

		return promise;
	})();
	try {
		return await Promise.race([promise, late]);
	} finally {
		abort.abort();
	}
}

/** The value of a result. */
export async function expectSuccess<T>(result: ResultAsync<T, PeerFailure>): Promise<T> {
	const settled = await within((async () => result)());
	return settled._unsafeUnwrap();
}

/** The failure of a result. */
export async function expectFailure(result: ResultAsync<unknown, PeerFailure>): Promise<PeerFailure> {
	const settled = await within((async () => result)());
	return settled._unsafeUnwrapErr();
}

/** A frame of anything: bytes as they are, other values as CBOR. */
export function toBytes(value: unknown): Buffer {
	const body = Buffer.isBuffer(value) ? value : encode(value);
	const head = Buffer.alloc(4);
	head.writeUInt32BE(body.length);
	return Buffer.concat([head, body]);
}

/** A listener on any port that answers each call with what it got. */
export async function startListener(options: Partial<ListenOptions> = {}) {
	return listenPeers({
		bind: '127.0.0.1', port: 0, hello, onCall: async (_peer, method, body) => ({method, body}), ...options,
	});
}
