/** An agent of another host as a starting agent sees it: states a version of the configuration and serves the document. */
import {setTimeout as sleep} from 'node:timers/promises';
import {listenPeers, type PeerConnection} from '../../../src/adapters/peer-tcp/index.js';
import {toDigest} from '../../../src/_lib/to-digest/index.js';
import {toConfigChunks} from '../../../src/domain/to-config-chunks/index.js';
import {peerCalls, peerEvents, type KnownVersions} from '../../../src/programs/agent/_lib/peer-messages.js';

export type FakePeerOptions = {
	host: string;
	text: string;
	revision: number;
	/** Whether the peer vouches for its version. */
	isVouched?: boolean;
	/** Time after which the peer answers and states its version, milliseconds. */
	answerAfterMs?: number;
	/** Whether the peer answers the call for its versions, as agents of older builds don't. */
	answersVersions?: boolean;
	/** Whether the peer serves its document. */
	servesDocument?: boolean;
};

export type FakePeer = {
	address: string;
	close: () => Promise<void>;
};

/** Starts the peer on loopback. */
export async function startFakePeer({host, text, revision, isVouched = true, answerAfterMs = 0, answersVersions = true, servesDocument = true}: FakePeerOptions): Promise<FakePeer> {
	const {manifest, chunks} = toConfigChunks(text);
	const versions: KnownVersions = {
		config: {edition: 0, revision, digest: toDigest(text).slice(0, 16)},
		fleet: undefined,
		confirmedAgeMs: isVouched ? 1000 : undefined,
	};

	const answer = (method: string, body: unknown): unknown => {
		if (method === peerCalls.manifest && servesDocument) {
			return {...manifest, revision};
		}

		if (method === peerCalls.chunks) {
			return (body as {digests: string[]}).digests.map(digest => chunks.get(digest) ?? '');
		}

		if (method === peerCalls.versions && answersVersions) {
			return {host, ...versions};
		}

		throw new Error(`no method ${method}`);
	};

	const sendVersions = async (connection: PeerConnection): Promise<void> => {
		await sleep(answerAfterMs);
		connection.send(peerEvents.versions, versions);
	};

	const listener = await listenPeers({
		bind: '127.0.0.1',
		port: 0,
		hello: {
			host, zone: host[0]!, role: 'agent', incarnation: 1,
		},
		async onCall(_peer, method, body) {
			await sleep(answerAfterMs);
			return answer(method, body);
		},
		onConnect(connection) {
			void sendVersions(connection);
		},
	});
	return {address: `127.0.0.1:${listener.port}`, close: listener.close};
}
