/** Shared by the tests of peer connections: a listener, a timeout for promises, and raw frames. */
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

/** Settles like the promise; rejects if that takes longer than {@link deadlineMs}. */
export async function within<T>(promise: Promise<T>): Promise<T> {
	const abort = new AbortController();
	const late = (async (): Promise<T> => {
		const over = await isOver(abort.signal);
		if (over) {
			throw new Error(`the promise did not settle within ${deadlineMs} ms`);
		}

		return promise;
	})();
	try {
		return await Promise.race([promise, late]);
	} finally {
		abort.abort();
	}
}

/** Waits for a result and returns its value. */
export async function expectSuccess<T>(result: ResultAsync<T, PeerFailure>): Promise<T> {
	const settled = await within((async () => result)());
	return settled._unsafeUnwrap();
}

/** Waits for a result and returns its failure. */
export async function expectFailure(result: ResultAsync<unknown, PeerFailure>): Promise<PeerFailure> {
	const settled = await within((async () => result)());
	return settled._unsafeUnwrapErr();
}

/** Builds a frame: a buffer becomes the body as it is, any other value is encoded as CBOR. */
export function toBytes(value: unknown): Buffer {
	const body = Buffer.isBuffer(value) ? value : encode(value);
	const head = Buffer.alloc(4);
	head.writeUInt32BE(body.length);
	return Buffer.concat([head, body]);
}

/** Starts a listener on a free port that answers each call with its method and body. */
export async function startListener(options: Partial<ListenOptions> = {}) {
	return listenPeers({
		bind: '127.0.0.1', port: 0, hello, onCall: async (_peer, method, body) => ({method, body}), ...options,
	});
}
