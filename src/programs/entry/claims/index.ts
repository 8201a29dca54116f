/**
 * Idempotency keys across the fleet: claims a key at its witnesses, acts as a
 * witness for the claims of other hosts, and lets a second call join the run of
 * the first one, on whichever host that run is. The reasoning is in
 * `docs/design/007-at-most-once.md`.
 */
import {randomUUID} from 'node:crypto';
import {
	connectPeer, type PeerConnection, type PeerHello,
} from '../../../adapters/peer-tcp/index.js';
import {
	createClaimWitness, defaultClockBoundMs, defaultRetentionMs,
} from '../../../domain/create-claim-witness/index.js';
import {createRunTable} from '../../../domain/create-run-table/index.js';
import {toScopedKey} from '../../../domain/to-scoped-key/index.js';
import {msPerMinute, msPerSecond} from '../../../ports/units.js';
import {createClaimer} from './_lib/create-claimer.js';
import {createHandOvers} from './_lib/create-hand-overs.js';
import {createPeerPool} from './_lib/create-peer-pool.js';
import {createRemoteJoiner} from './_lib/create-remote-joiner.js';
import {createRunStarter} from './_lib/create-run-starter.js';
import {createServedReads} from './_lib/create-served-reads.js';
import {detachRequest} from './_lib/detach-text.js';
import {createTableTransfer} from './_lib/create-table-transfer.js';
import {createWitnessClient} from './_lib/create-witness-client.js';
import {createWitnessSets} from './_lib/create-witness-sets.js';
import {
	claimRequestSchema, events, handOverSchema, joinRequestSchema, methods, readRequestSchema, releaseSchema, takeOverRequestSchema, type JoinReply,
} from './_lib/messages.js';
import {
	type Claims, type ClaimsOptions,
} from './types.js';

export {
	serveKeyed, type JoinEnd, type KeyedVerdict, type ServeKeyedOptions,
} from './serve-keyed.js';
export {
	type Claimed, type Claims, type ClaimsOptions, type KeyedRequest,
} from './types.js';

const defaultAskTimeoutMs = msPerSecond;
const idleConnectionMs = msPerMinute;

/**
 * Creates the claims of one entry.
 *
 * @param options - See {@link ClaimsOptions}.
 * @returns See {@link Claims}.
 *
 * @example
 * ```ts
 * const claims = createClaims({hello, toAddress: () => `${bind}:${peers.port}`, toView: () => view, clock, random, log});
 * const peers = await listenPeers({bind, port, hello, onCall: claims.onCall, onEvent: claims.onEvent});
 * // after the first view with hosts: void claims.takeOver(); every second: claims.tick()
 *
 * // for each request with a key, once its rule and body are known:
 * await serveKeyed(claims, exchange, {workspace, key, digest, isRepeatable: rule.then.repeatable}, {
 *     writeTimeoutMs,
 *     now: clock.now,
 *     serve: async recorded => runAsIfThisWereTheCaller(recorded), // reached on one host alone; resolves to 'complete', 'not-run' or 'failed'
 * });
 *
 * // on a graceful stop, when all requests have ended:
 * await claims.leave();
 * claims.close();
 * ```
 */
export function createClaims(options: ClaimsOptions): Claims {
	const {
		hello, toAddress, toView, clock, random, log, askTimeoutMs = defaultAskTimeoutMs, clockBoundMs = defaultClockBoundMs,
	} = options;
	const retentionMs = defaultRetentionMs - defaultClockBoundMs + clockBoundMs;
	/** Identifies this process in its claims. A later process at the same address did not make them and cannot know their outcome. */
	const processId = randomUUID();
	const slot = hello().host;
	const witness = createClaimWitness({
		slot, incarnation: hello().incarnation, startedAt: clock.wallNow(), clockBoundMs, retentionMs,
	});
	const runs = createRunTable(options.runs);
	const reads = createServedReads(clock.now);
	const handOvers = createHandOvers(clock.now);
	const witnessSets = createWitnessSets(retentionMs + clockBoundMs);
	const pool = createPeerPool({
		connect: address => connectPeer({
			address, hello, connectTimeoutMs: askTimeoutMs, tls: options.tls,
		}),
		now: clock.now,
		idleMs: idleConnectionMs,
	});
	const closing = new AbortController();
	const {connectTo, ask, release} = createWitnessClient({
		slot, witness, pool, toView, clock, askTimeoutMs,
	});
	const {leave, takeOver, isSettled} = createTableTransfer({
		slot, witness, connectTo, toView, clock, log, closing: closing.signal,
	});

	function toSets(scopedKey: string) {
		witnessSets.setHosts(toView()?.accepted?.config.hosts ?? [], clock.now());
		return witnessSets.pick(scopedKey, clock.now());
	}

	function releaseEverywhere(request: {workspace: string; key: string; claimId: string}) {
		const slots = new Set(toSets(toScopedKey(request)).flatMap(set => set.slots));
		for (const host of slots) {
			release(host, request);
		}
	}

	const {claim, waitForDecision} = createClaimer({
		processId,
		slot,
		toClaimant: () => ({host: slot, incarnation: hello().incarnation, address: toAddress()}),
		toSets,
		ask,
		release,
		runs,
		startRun: createRunStarter({runs, clock, releaseEverywhere}),
		joinRemote: createRemoteJoiner(pool),
		releaseEverywhere,
		clock,
		random,
	});

	async function serveJoin(body: unknown, connection: PeerConnection): Promise<JoinReply> {
		const request = joinRequestSchema.parse(body);
		if (!request.claimId.startsWith(processId)) {
			return {kind: 'foreign'};
		}

		await waitForDecision(request);
		const joined = runs.join(request, clock.now());
		if (joined.isOk()) {
			return {kind: 'reading', readId: reads.open(joined.value, connection)};
		}

		if (joined.error !== 'unknown') {
			return {kind: joined.error};
		}

		releaseEverywhere(request);
		return {kind: 'released'};
	}

	async function onCall(peer: PeerHello, method: string, body: unknown, connection: PeerConnection): Promise<unknown> {
		switch (method) {
			case methods.claim: {
				return witness.claim(detachRequest(claimRequestSchema.parse(body)), clock.wallNow());
			}

			case methods.join: {
				return serveJoin(body, connection);
			}

			case methods.read: {
				return reads.read(readRequestSchema.parse(body).readId, connection);
			}

			case methods.handOver: {
				const part = handOverSchema.parse(body);
				return {isTaken: part.slot === peer.host && handOvers.put(part)};
			}

			case methods.takeOver: {
				return handOvers.take(peer.host, peer.incarnation, takeOverRequestSchema.parse(body).part);
			}

			default: {
				throw new Error(`unknown method ${method}`);
			}
		}
	}

	return {
		claim,
		onCall,
		isOwnMethod: method => Object.values<string>(methods).includes(method),
		onEvent(_peer, name, body, connection) {
			if (name === events.release) {
				witness.release(releaseSchema.parse(body));
			} else if (name === events.closeRead) {
				reads.close(readRequestSchema.parse(body).readId, connection);
			}
		},
		takeOver,
		isSettled,
		leave,
		tick() {
			witness.sweep(clock.wallNow());
			runs.sweep(clock.now());
			reads.sweep();
			handOvers.sweep();
			pool.closeIdle();
		},
		close() {
			closing.abort();
			pool.close();
		},
		stats: () => ({...runs.stats(), ...witness.stats()}),
	};
}
