/**
 * A small model of one zone for the decisions of placement: decode servers with
 * slots, prefill servers with a queue, load reports that come late, routers
 * that share nothing. Its clock is logical, one millisecond a step.
 */
import {createPlacement, type Placement, type ServerFailure} from '../../src/domain/create-placement/index.js';
import {
	toConfig, toPlacementRequest, toReport, toSeededRandom, toServer, toView,
} from '../../src/domain/create-placement/_lib/fixtures.js';
import {type ServerEntry} from '../../src/ports/config.js';
import {type ServerStatus} from '../../src/ports/view.js';

/**
 * How a pair is chosen and who counts a decode server's memory.
 *
 * - `round-robin`, `least-lagged`, `two-lagged`: nobody counts; the last report alone decides.
 * - `own-corrected`: createPlacement, that is two draws on reports corrected by own dispatches; nobody counts.
 * - `reserve-lagged`: `two-lagged`, and the decode engine grants or refuses.
 * - `reserve`, `reserve-all`: createPlacement with two draws or all servers, and the engine grants or refuses.
 * - `grant`: createPlacement, and one owner host for each server grants or refuses, one hop away.
 */
export type Strategy = 'round-robin' | 'least-lagged' | 'two-lagged' | 'own-corrected' | 'reserve-lagged' | 'reserve' | 'reserve-all' | 'grant';

export type Scenario = {
	strategy: Strategy;
	routers: number;
	/** Offered requests over what the decode servers can carry. */
	load: number;
	/** Milliseconds between a server's reports, and until one is seen; 0 for both means instant. */
	reportEveryMs: number;
	reportLagMs: number;
	seed: number;
	seconds: number;
};

export type Outcome = {
	offered: number;
	good: number;
	/** Answered, but after the target. */
	late: number;
	refused: number;
	failed: number;
	/** Offers to a decode server that found no room, over all offers. */
	overfullShare: number;
	/** Refusals by engines or owners for each request. */
	refusalsPerRequest: number;
	/** Prefills computed whose result was not used, over all prefills. */
	wastedPrefillShare: number;
	/** Good answers over what the decode servers can carry in that time. */
	goodput: number;
	firstTokenP50: number;
	firstTokenP99: number;
};

export const settings = {
	decodeServers: 12,
	prefillServers: 15,
	slots: 20,
	/** Mean length of a prompt; a fixed part, and an exponential one. */
	promptTokens: 1600,
	minPromptTokens: 100,
	prefillTokensPerSecond: 8000,
	holdMs: 4000,
	kvBytesPerToken: 131_250,
	linkBytesPerSecond: 3_000_000_000,
	targetMs: 1300,
	kvLifeMs: 800,
	/** Life of a reservation asked for by a router that predicts nothing. */
	reservationMs: 2000,
	hopMs: 1,
	waitMs: 100,
	offersAtOnce: 3,
	warmupMs: 20_000,
};

type PrefillState = {entry: ServerEntry; busyUntil: number};
type DecodeState = {entry: ServerEntry; used: number; waiting: Array<() => boolean>; transfers: number};
/** One request: when it came, and its prompt. */
type Job = {arrivedAt: number; promptTokens: number};
type Choice = {prefill: ServerEntry; decode: ServerEntry; placement: Placement | undefined};

/** Requests a second that the decode servers carry when all slots are always taken. */
export const toCapacity = (): number => settings.decodeServers * settings.slots / (settings.holdMs / 1000);

const toQuantile = (sorted: readonly number[], quantile: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;

/** Callbacks by millisecond. */
const createAgenda = (endMs: number) => {
	const steps: Array<Array<() => void>> = Array.from({length: endMs + 1}, () => []);
	let now = 0;
	return {
		now: () => now,
		after(delayMs: number, run: () => void): void {
			steps[Math.min(endMs, Math.ceil(now + delayMs))]?.push(run);
		},
		run(): void {
			for (; now < endMs; now++) {
				// A step may grow while it runs.
				for (const run of steps[now] ?? []) {
					run();
				}

				steps[now] = [];
			}
		},
	};
};

type Agenda = ReturnType<typeof createAgenda>;

const createFleet = (agenda: Agenda, scenario: Scenario) => {
	const prefills: PrefillState[] = Array.from({length: settings.prefillServers}, (_, i) => ({entry: toServer(`p${i}`, 'prefill'), busyUntil: 0}));
	const decodes: DecodeState[] = Array.from({length: settings.decodeServers}, (_, i) => ({
		entry: toServer(`d${i}`, 'decode', {slots: settings.slots}), used: 0, waiting: [], transfers: 0,
	}));
	const statuses = new Map<string, ServerStatus>();
	const states = new Map<string, PrefillState | DecodeState>([...prefills, ...decodes].map(state => [state.entry.id, state]));

	const toStatus = (state: PrefillState | DecodeState, at: number): ServerStatus => ({
		id: state.entry.id,
		leaving: false,
		reachable: true,
		loadAt: at,
		load: toReport(state.entry, {
			slotsUsed: 'used' in state ? state.used : 0,
			queuedTokens: 'used' in state ? 0 : Math.max(0, state.busyUntil - at) * settings.prefillTokensPerSecond / 1000,
			linkBytesPerSecond: settings.linkBytesPerSecond,
		}),
	});

	const report = (state: PrefillState | DecodeState): void => {
		const status = toStatus(state, agenda.now());
		agenda.after(scenario.reportLagMs, () => {
			statuses.set(state.entry.id, status);
		});
		agenda.after(scenario.reportEveryMs, () => {
			report(state);
		});
	};

	for (const [i, state] of [...states.values()].entries()) {
		statuses.set(state.entry.id, toStatus(state, 0));
		if (scenario.reportEveryMs > 0) {
			agenda.after(i * scenario.reportEveryMs / states.size, () => {
				report(state);
			});
		}
	}

	const view = {...toView(toConfig([...states.values()].map(state => state.entry)), []), servers: statuses};
	return {
		prefills,
		decodes,
		toPrefill: (entry: ServerEntry) => states.get(entry.id) as PrefillState,
		toDecode: (entry: ServerEntry) => states.get(entry.id) as DecodeState,
		/** The view as it is now; with instant reports, the truth. */
		toView() {
			if (scenario.reportEveryMs === 0) {
				for (const state of states.values()) {
					statuses.set(state.entry.id, toStatus(state, agenda.now()));
				}
			}

			return view;
		},
	};
};

type Fleet = ReturnType<typeof createFleet>;

/** A router of the given strategy: chooses pairs, and learns if it is one that learns. */
const createRouter = (fleet: Fleet, agenda: Agenda, {strategy}: Scenario, random: () => number) => {
	const isBlind = strategy === 'round-robin' || strategy === 'least-lagged' || strategy === 'two-lagged' || strategy === 'reserve-lagged';
	const placement = createPlacement({zone: 'a', draws: strategy === 'reserve-all' ? Infinity : 2, kvBytesPerToken: settings.kvBytesPerToken});
	const turns = {prefill: Math.floor(random() * 1000), decode: Math.floor(random() * 1000), plain: 0};

	const toLoad = (entry: ServerEntry): number => {
		const load = fleet.toView().servers.get(entry.id)?.load;
		return entry.role === 'decode' ? load?.slotsUsed ?? 0 : load?.queuedTokens ?? 0;
	};

	const chooseBlind = (states: ReadonlyArray<{entry: ServerEntry}>, exclude: ReadonlySet<string>): ServerEntry | undefined => {
		const entries = states.map(state => state.entry).filter(entry => !exclude.has(entry.id));
		if (strategy === 'round-robin') {
			const role = entries[0]?.role ?? 'plain';
			turns[role]++;
			return entries[turns[role] % entries.length];
		}

		const drawn = strategy === 'least-lagged' ? entries : [1, 2].map(() => entries[Math.floor(random() * entries.length)]!);
		const least = Math.min(...drawn.map(entry => toLoad(entry)));
		const ties = drawn.filter(entry => toLoad(entry) === least);
		return ties[Math.floor(random() * ties.length)];
	};

	return {
		choose(promptTokens: number, budgetMs: number, exclude: ReadonlySet<string>): Choice | undefined {
			if (isBlind) {
				const prefill = chooseBlind(fleet.prefills, new Set());
				const decode = chooseBlind(fleet.decodes, exclude);
				return prefill && decode && {prefill, decode, placement: undefined};
			}

			const request = toPlacementRequest({promptTokens, firstTokenBudgetMs: budgetMs, exclude});
			const picked = placement.pick(request, fleet.toView(), agenda.now(), random);
			if (picked.isErr()) {
				return undefined;
			}

			placement.noteDispatched(picked.value, agenda.now());
			return {...picked.value, placement: picked.value};
		},
		noteReserved(choice: Choice): void {
			if (choice.placement) {
				placement.noteReserved(choice.placement, agenda.now());
			}
		},
		notePrefilled(choice: Choice, promptTokens: number): void {
			if (choice.placement) {
				placement.notePrefilled(choice.placement, {promptTokens, cachedTokens: 0, bytes: promptTokens * settings.kvBytesPerToken}, agenda.now());
			}
		},
		noteFirstToken(choice: Choice): void {
			if (choice.placement) {
				placement.noteFirstToken(choice.placement, agenda.now());
			}
		},
		noteEnd(choice: Choice, failure?: ServerFailure): void {
			if (failure) {
				placement.noteFailure(choice.decode, failure, agenda.now());
			}

			if (choice.placement) {
				placement.noteFinished(choice.placement, agenda.now());
			}
		},
	};
};

type Router = ReturnType<typeof createRouter>;

/** Runs one scenario to its end. */
export const simulate = (scenario: Scenario): Outcome => {
	const endMs = scenario.seconds * 1000;
	const agenda = createAgenda(endMs);
	const random = toSeededRandom(scenario.seed);
	const fleet = createFleet(agenda, scenario);
	const routers = Array.from({length: scenario.routers}, (_, i) => createRouter(fleet, agenda, scenario, toSeededRandom(scenario.seed + 1 + i)));
	const isArbitrated = scenario.strategy.startsWith('reserve') || scenario.strategy === 'grant';
	const offerMs = scenario.strategy === 'grant' ? 3 * settings.hopMs : settings.hopMs;
	const tally = {
		offered: 0, good: 0, late: 0, refused: 0, failed: 0, offers: 0, overfull: 0, prefills: 0, wasted: 0,
	};
	const firstTokens: number[] = [];
	const isCounted = (at: number): boolean => at >= settings.warmupMs && at < endMs - settings.warmupMs;
	const add = (at: number, key: keyof typeof tally): void => {
		tally[key] += isCounted(at) ? 1 : 0;
	};

	const release = (state: DecodeState): void => {
		state.used--;
		while (state.waiting.length > 0 && state.waiting.shift()?.() === false) {
			// The first that still has a use for the slot takes it.
		}
	};

	/** Transfer and decode on a slot that is already counted. */
	const serve = (router: Router, choice: Choice, state: DecodeState, {arrivedAt, promptTokens}: Job): void => {
		state.transfers++;
		agenda.after(promptTokens * settings.kvBytesPerToken * state.transfers / settings.linkBytesPerSecond * 1000, () => {
			state.transfers--;
			router.noteFirstToken(choice);
			const tookMs = agenda.now() - arrivedAt;
			add(arrivedAt, tookMs <= settings.targetMs ? 'good' : 'late');
			if (isCounted(arrivedAt)) {
				firstTokens.push(tookMs);
			}

			agenda.after(-Math.log(1 - random()) * settings.holdMs, () => {
				release(state);
				router.noteEnd(choice);
			});
		});
	};

	/** Prefill, then the decode server's slot: already held, or looked for only now. */
	const run = (router: Router, choice: Choice, job: Job): void => {
		const {arrivedAt, promptTokens} = job;
		const startedAt = agenda.now();
		const prefill = fleet.toPrefill(choice.prefill);
		const state = fleet.toDecode(choice.decode);
		const ttlMs = choice.placement?.reservationTtlMs ?? settings.reservationMs;
		const doneAt = Math.max(prefill.busyUntil, startedAt) + (promptTokens / settings.prefillTokensPerSecond * 1000);
		if (isArbitrated && doneAt - startedAt > ttlMs) {
			// The engine drops queued work at its deadline, which is the end of the reservation.
			agenda.after(ttlMs, () => {
				add(arrivedAt, 'failed');
				release(state);
				router.noteEnd(choice);
			});
			return;
		}

		prefill.busyUntil = doneAt;
		add(arrivedAt, 'prefills');
		agenda.after(doneAt - startedAt, () => {
			router.notePrefilled(choice, promptTokens);
			if (isArbitrated) {
				serve(router, choice, state, job);
				return;
			}

			add(arrivedAt, 'offers');
			if (state.used < settings.slots) {
				state.used++;
				serve(router, choice, state, job);
				return;
			}

			add(arrivedAt, 'overfull');
			const until = agenda.now() + settings.kvLifeMs;
			let isWaiting = true;
			state.waiting.push(() => {
				const isAlive = isWaiting && agenda.now() <= until;
				isWaiting = false;
				if (isAlive) {
					state.used++;
					serve(router, choice, state, job);
				}

				return isAlive;
			});
			agenda.after(settings.kvLifeMs, () => {
				if (isWaiting) {
					isWaiting = false;
					add(arrivedAt, 'wasted');
					add(arrivedAt, 'failed');
					router.noteEnd(choice, {kind: 'refused', reason: 'full'});
				}
			});
		});
	};

	const attempt = (router: Router, job: Job, exclude: ReadonlySet<string>): void => {
		const {arrivedAt, promptTokens} = job;
		const leftMs = settings.targetMs - (agenda.now() - arrivedAt);
		const choice = leftMs > 0 ? router.choose(promptTokens, leftMs, exclude) : undefined;
		if (choice === undefined) {
			if (leftMs <= settings.waitMs) {
				add(arrivedAt, 'refused');
			} else {
				agenda.after(settings.waitMs * (0.5 + random()), () => {
					attempt(router, job, new Set());
				});
			}

			return;
		}

		if (!isArbitrated) {
			run(router, choice, job);
			return;
		}

		agenda.after(offerMs, () => {
			const state = fleet.toDecode(choice.decode);
			add(arrivedAt, 'offers');
			if (state.used < settings.slots) {
				state.used++;
				router.noteReserved(choice);
				run(router, choice, job);
				return;
			}

			add(arrivedAt, 'overfull');
			router.noteEnd(choice, {kind: 'refused', reason: 'full'});
			const tried = new Set([...exclude, choice.decode.id]);
			agenda.after(tried.size < settings.offersAtOnce ? settings.hopMs : settings.waitMs * (0.5 + random()), () => {
				attempt(router, job, tried.size < settings.offersAtOnce ? tried : new Set());
			});
		});
	};

	const arrive = (): void => {
		const arrivedAt = agenda.now();
		add(arrivedAt, 'offered');
		const promptTokens = Math.ceil(settings.minPromptTokens - (Math.log(1 - random()) * (settings.promptTokens - settings.minPromptTokens)));
		attempt(routers[Math.floor(random() * routers.length)]!, {arrivedAt, promptTokens}, new Set());
	};

	// Open loop: a Poisson stream, whatever becomes of earlier requests.
	for (let at = 0; at < endMs; at += -Math.log(1 - random()) * 1000 / (toCapacity() * scenario.load)) {
		agenda.after(at, arrive);
	}

	agenda.run();
	const sorted = firstTokens.toSorted((a, b) => a - b);
	const countedSeconds = scenario.seconds - (2 * settings.warmupMs / 1000);
	return {
		offered: tally.offered,
		good: tally.good,
		late: tally.late,
		refused: tally.refused,
		failed: tally.failed,
		overfullShare: tally.overfull / Math.max(1, tally.offers),
		refusalsPerRequest: isArbitrated ? tally.overfull / Math.max(1, tally.offered) : 0,
		wastedPrefillShare: tally.wasted / Math.max(1, tally.prefills),
		goodput: tally.good / (toCapacity() * countedSeconds),
		firstTokenP50: toQuantile(sorted, 0.5),
		firstTokenP99: toQuantile(sorted, 0.99),
	};
};
