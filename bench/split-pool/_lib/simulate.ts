/**
 * Simulates several hosts that route to one pool. Placement, reservations and
 * `Retry-After` times come from the product's own code.
 */
import {build as createHistogram} from 'hdr-histogram-js';
import {createPlacement, type Placement, type PlacementDecider} from '../../../src/domain/create-placement/index.js';
import {createSharedLoads, type SharedLoads} from '../../../src/domain/create-shared-loads/index.js';
import {toReservedTokens} from '../../../src/domain/to-reserved-tokens/index.js';
import {toFullPoolRetryAfter} from '../../../src/domain/to-full-pool-retry-after/index.js';
import {type Milliseconds, type Random} from '../../../src/ports/clock.js';
import {type ServerEntry} from '../../../src/ports/config.js';
import {type FleetView} from '../../../src/ports/view.js';
import {msPerSecond} from '../../../src/ports/units.js';
import {createEngines, promptTokensPerMs, type EngineSizes} from './create-engines.js';
import {createWorkload, type Work} from './create-workload.js';

export type Scenario = EngineSizes & {
	/** Numbers of prefill and decode servers. */
	prefills: number;
	decodes: number;
	hosts: number;
	perSecond: number;
	burst: number;
	seconds: number;
	/** Whether hosts gossip the loads of their in-flight requests. */
	isShared: boolean;
};

export type Outcome = {
	requests: number;
	/** Fractions of all requests: `inTime`, `late` and `refused`. */
	inTime: number;
	late: number;
	refused: number;
	promptP50Ms: number;
	promptP90Ms: number;
	/** Fraction of the time for which prefill servers are busy. */
	prefillBusy: number;
	/** Fraction of the servers that should be prefill servers, as estimated by the first host; 0 if the host saw too few requests. */
	learntShare: number;
};

/** A request is in time if its first event arrives within this time and no long pause follows. */
const targetMs = 900;
/** Total time that a caller waits; a refused caller retries once. */
const callerTimeoutMs = 14 * msPerSecond;
/** A caller retries after this fraction of its remaining time, at the latest. */
const maxRetryDelayShare = 1 / 3;

/** Interval at which waiting requests look for a place and at which hosts send their loads. */
const tickMs = 20;

const zones = ['a', 'b', 'c'];

type Request = Work & {
	/** Time of the caller's first attempt. */
	firstAttemptAt: Milliseconds;
	hasRetried: boolean;
};

type Todo = {at: Milliseconds; run: (now: Milliseconds) => void};

const toServers = (role: 'prefill' | 'decode', {slots, ...scenario}: Scenario): ServerEntry[] => Array.from({length: scenario[`${role}s`]}, (_, i) => ({
	id: `${role}-${i}`, role, zone: zones[i % zones.length]!, url: 'http://192.0.2.1:1', pool: 'model', slots, checksFence: false,
}));

function toView(servers: readonly ServerEntry[], {memoryTokens}: EngineSizes): FleetView {
	return {
		accepted: {
			version: {edition: 1, revision: 1, digest: ''}, text: '', config: {
				zones: zones.map(id => ({id, region: 'r'})), hosts: [], servers, rules: [], callerTokens: {}, weightStoreBytesPerSecond: 0, pools: [{
					name: 'model', kind: 'model', model: 'm', version: undefined, adapters: [], classes: ['quick', 'batch'], isUnreported: true, memoryTokens,
				}],
			},
		},
		hosts: new Map(),
		servers: new Map(),
		platformConfirmedAt: 0,
		receivedAt: 0,
	};
}

/** Creates a queue of events that run in order of time. */
function createAgenda() {
	const todos: Todo[] = [];
	return {
		add(at: Milliseconds, run: Todo['run']): void {
			let index = todos.length;
			while (index > 0 && todos[index - 1]!.at > at) {
				index--;
			}

			todos.splice(index, 0, {at, run});
		},
		runAll(): void {
			for (let next = todos.shift(); next !== undefined; next = todos.shift()) {
				next.run(next.at);
			}
		},
	};
}

/**
 * Simulates one run.
 *
 * @param scenario - Servers, hosts and load.
 * @param random - Random number generator; the same seed gives the same run.
 * @returns Outcome of the requests.
 *
 * @example
 * ```ts
 * simulate({prefills: 2, decodes: 4, hosts: 7, perSecond: 7.3, burst: 1.8, seconds: 40, isShared: true, memoryTokens: 42_606, slots: 128}, createRandom()).inTime;
 * ```
 */
export function simulate(scenario: Scenario, random: Random): Outcome {
	const agenda = createAgenda();
	const engines = createEngines(scenario);
	const servers = [...toServers('prefill', scenario), ...toServers('decode', scenario)];
	const view = toView(servers, scenario);
	const shared = Array.from({length: scenario.hosts}, () => createSharedLoads());
	const readNoLoad: SharedLoads['read'] = () => ({requests: 0, promptTokens: 0});
	const hosts = shared.map((loads, i) => createPlacement({zone: zones[i % zones.length]!, readPeerLoad: scenario.isShared ? loads.read : readNoLoad}));
	const prompts = createHistogram();
	const outcomes = {inTime: 0, late: 0, refused: 0};
	let busyMs = 0;
	let sequence = 0;

	function shareLoads(now: Milliseconds): void {
		sequence++;
		for (const [from, host] of hosts.entries()) {
			const message = {
				host: `h${from}`, zone: zones[from % zones.length]!, incarnation: 1, sequence, loads: host.ownLoads(), peers: [], isAsking: false,
			};
			for (const [to, loads] of shared.entries()) {
				if (to !== from) {
					loads.note(message, now);
				}
			}
		}
	}

	function refuse(request: Request, now: Milliseconds): void {
		if (request.hasRetried) {
			outcomes.refused++;
			return;
		}

		const left = request.firstAttemptAt + callerTimeoutMs - now;
		const delayMs = Math.min(left * maxRetryDelayShare, toFullPoolRetryAfter(3 * msPerSecond, random));
		agenda.add(now + delayMs, later => {
			offer({...request, hasRetried: true}, later);
		});
	}

	function start(request: Request, placement: PlacementDecider, pair: Placement, reserved: number, now: Milliseconds): void {
		placement.noteDispatched(pair, now);
		placement.noteReserved(pair, reserved, now);
		const isDecodeOnly = pair.prefill.id === pair.decode.id;
		const computedAt = isDecodeOnly ? engines.prefillAtDecode(pair.decode.id, request.promptTokens, now) : engines.prefill(pair.prefill.id, request.promptTokens, now);
		busyMs += isDecodeOnly ? 0 : request.promptTokens / promptTokensPerMs;
		agenda.add(computedAt, at => {
			prompts.recordValue(Math.max(1, Math.round(at - now)));
			if (!isDecodeOnly) {
				placement.notePrefilled(pair, {promptTokens: request.promptTokens, cachedTokens: 0, bytes: 0}, at);
			}

			placement.noteFirstToken(pair, at);
			const isPrompt = at - request.firstAttemptAt <= targetMs;
			endAfter(engines.startAnswer(pair.decode.id, request.answerTokens), {
				server: pair.decode.id, reserved, onEnd(end) {
					outcomes[isPrompt && !engines.hasPausedSince(pair.decode.id, at) ? 'inTime' : 'late']++;
					placement.noteFinished(pair, end);
				},
			}, at);
		});
	}

	/** Ends an answer after `ownMs` plus the time for which prompts blocked its server meanwhile. */
	function endAfter(ownMs: Milliseconds, answer: {server: string; reserved: number; onEnd: (end: Milliseconds) => void}, now: Milliseconds): void {
		const before = engines.heldUpMs(answer.server);
		agenda.add(now + ownMs, end => {
			const heldUpMs = engines.heldUpMs(answer.server) - before;
			if (heldUpMs > 0) {
				endAfter(heldUpMs, answer, end);
				return;
			}

			engines.endAnswer(answer.server);
			engines.free(answer.server, answer.reserved);
			answer.onEnd(end);
		});
	}

	/** Asks decode servers for a place until one accepts, waiting as long as the answer can still be in time. A request that its caller retries asks only once. */
	function offer(request: Request, now: Milliseconds): void {
		const placement = hosts[request.host]!;
		const reserved = toReservedTokens({...request, maxTokens: 2040});
		for (;;) {
			const picked = placement.pick({
				pool: 'model', model: 'm', version: undefined, adapter: undefined, promptTokens: request.promptTokens, maxTokens: 2040, class: 'quick', firstTokenBudgetMs: callerTimeoutMs,
			}, view, now, random);
			if (picked.isErr()) {
				break;
			}

			const {decode} = picked.value;
			if (engines.reserve(decode.id, reserved)) {
				start(request, placement, picked.value, reserved, now);
				return;
			}

			placement.noteFailure(decode, {kind: 'refused', reason: 'full'}, now);
		}

		if (request.hasRetried || now + tickMs - request.firstAttemptAt > targetMs) {
			refuse(request, now);
			return;
		}

		agenda.add(now + tickMs, later => {
			offer(request, later);
		});
	}

	const lengthMs = scenario.seconds * msPerSecond;
	const works = createWorkload({...scenario, lengthMs}, random);
	for (const work of works) {
		agenda.add(work.at, now => {
			offer({...work, firstAttemptAt: now, hasRetried: false}, now);
		});
	}

	for (let at = 0; scenario.isShared && at < lengthMs * 2; at += tickMs) {
		agenda.add(at, shareLoads);
	}

	agenda.runAll();
	return {
		requests: works.length,
		inTime: outcomes.inTime / works.length,
		late: outcomes.late / works.length,
		refused: outcomes.refused / works.length,
		promptP50Ms: prompts.getValueAtPercentile(50),
		promptP90Ms: prompts.getValueAtPercentile(90),
		prefillBusy: busyMs / lengthMs / scenario.prefills,
		learntShare: hosts[0]!.toPrefillShare(view.accepted!.config.pools[0]!, servers) ?? 0,
	};
}
