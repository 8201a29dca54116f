/**
 * Keyed requests over the fleet: claims a key at its witnesses, witnesses the
 * keys of others, and lets a second call join the first one's run, on whichever
 * host it is. The reasoning is in `docs/design/007-at-most-once.md`.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {
	connectPeer, type PeerConnection, type PeerHello,
} from '../../../adapters/peer-tcp/index.js';
import {claimKey} from '../../../domain/claim-key/index.js';
import {
	type Claim, createClaimWitness, defaultClockBoundMs, defaultRetentionMs,
} from '../../../domain/create-claim-witness/index.js';
import {createRunTable} from '../../../domain/create-run-table/index.js';
import {toScopedText} from '../../../domain/to-scoped-text/index.js';
import {msPerMinute, msPerSecond} from '../../../ports/units.js';
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
import {toClaimProblem, toJoinProblem, toLostProblem} from './_lib/to-claim-problem.js';
import {
	type Claimed, type Claims, type ClaimsOptions, type KeyedRequest,
} from './types.js';

export {
	serveKeyed, type JoinEnd, type KeyedVerdict, type ServeKeyedOptions,
} from './serve-keyed.js';
export {
	type Claimed, type Claims, type ClaimsOptions, type KeyedRequest,
} from './types.js';

const defaultAskTimeoutMs = msPerSecond;
const idleConnectionMs = msPerMinute;
const rounds = 6;
const roundWaitMs = 40;

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
	/** Names this process: a later one at the same address did not make its claims and cannot say what became of them. */
	const instance = randomUUID();
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
	/** Claims of this process that are not decided yet, by scoped key. */
	const pending = new Map<string, {claimId: string; decided: Promise<void>}>();
	let claimCount = 0;
	const closing = new AbortController();
	const {connectTo, ask, release} = createWitnessClient({
		slot, witness, pool, toView, clock, askTimeoutMs,
	});
	const {leave, takeOver, isSettled} = createTableTransfer({
		slot, witness, connectTo, toView, clock, log, closing: closing.signal,
	});
	const joinRemote = createRemoteJoiner(pool);
	const startRun = createRunStarter({runs, clock, releaseEverywhere});

	function toSets(text: string) {
		witnessSets.setHosts(toView()?.accepted?.config.hosts ?? [], clock.now());
		return witnessSets.pick(text, clock.now());
	}

	function releaseEverywhere(request: {workspace: string; key: string; claimId: string}) {
		const slots = new Set(toSets(toScopedText(request)).flatMap(set => set.slots));
		for (const host of slots) {
			release(host, request);
		}
	}

	async function claimOnce(request: KeyedRequest, replaces: string | undefined): Promise<Claimed | {kind: 'held'; holder: Claim}> {
		const {workspace, key, digest, isRepeatable} = request;
		const text = toScopedText(request);
		claimCount++;
		const claimId = `${instance}-${claimCount}`;
		const decided = createDeferred();
		pending.set(text, {claimId, decided: decided.promise});
		try {
			const granted = await claimKey({
				request: {
					workspace, key, digest, isRepeatable, claimId, replaces, claimant: {host: slot, incarnation: hello().incarnation, address: toAddress()},
				},
				sets: toSets(text),
				ask,
				release,
				wait: async ms => sleep(ms),
				random,
			});
			if (granted.isErr()) {
				return {kind: 'refused', problem: toClaimProblem(granted.error)};
			}

			// Without a wait in between: whoever asks to join finds the claim pending or the run in the table.
			return granted.value.kind === 'granted' ? startRun(request, claimId) : {kind: 'held', holder: granted.value.claim};
		} finally {
			pending.delete(text);
			decided.resolve();
		}
	}

	/** What to do about a key that another claim holds. */
	async function joinHolder(request: KeyedRequest, holder: Claim): Promise<Claimed | 'again' | 'lost'> {
		if (!holder.claimId.startsWith(instance)) {
			return joinRemote(request, holder);
		}

		// Our own claim, and no run of it: it was given back and a witness did not hear of it.
		if (!runs.has(request)) {
			releaseEverywhere({workspace: request.workspace, key: request.key, claimId: holder.claimId});
		}

		return 'again';
	}

	function joinLocal(request: KeyedRequest): Claimed | undefined {
		const joined = runs.join(request, clock.now());
		if (joined.isOk()) {
			return {kind: 'join', reader: joined.value, host: slot};
		}

		return joined.error === 'unknown' ? undefined : {kind: 'refused', problem: toJoinProblem(joined.error)};
	}

	async function claim(request: KeyedRequest): Promise<Claimed> {
		const text = toScopedText(request);
		let replaces: string | undefined;
		for (let round = 1; round <= rounds; round++) {
			const local = joinLocal(request);
			if (local !== undefined) {
				return local;
			}

			const undecided = pending.get(text);
			if (undecided !== undefined) {
				await undecided.decided;
				continue;
			}

			const claimed = await claimOnce(request, replaces);
			if (claimed.kind !== 'held') {
				return claimed;
			}

			const joined = await joinHolder(request, claimed.holder);
			if (joined !== 'again' && joined !== 'lost') {
				return joined;
			}

			if (joined === 'lost' && !request.isRepeatable) {
				return {kind: 'refused', problem: toLostProblem(claimed.holder.claimant.host)};
			}

			replaces = joined === 'lost' ? claimed.holder.claimId : undefined;
			await sleep(joined === 'lost' ? 0 : roundWaitMs * round * (0.5 + random()));
		}

		return {kind: 'refused', problem: toLostProblem(undefined)};
	}

	async function serveJoin(body: unknown, connection: PeerConnection): Promise<JoinReply> {
		const request = joinRequestSchema.parse(body);
		if (!request.claimId.startsWith(instance)) {
			return {kind: 'foreign'};
		}

		const undecided = pending.get(toScopedText(request));
		if (undecided?.claimId === request.claimId) {
			await undecided.decided;
		}

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
		handles: method => Object.values<string>(methods).includes(method),
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
