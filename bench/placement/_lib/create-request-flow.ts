/** Takes requests through their stages: offers to decode servers, prefill, transfer, decode. */
import {type Agenda} from './create-agenda.js';
import {type DecodeState, type Fleet} from './create-fleet.js';
import {type Choice, type Job, type Router} from './create-router.js';
import {type Tally} from './create-tally.js';
import {isSlowAt, settings, type Scenario} from './scenario.js';

export type RequestFlowOptions = {
	agenda: Agenda;
	fleet: Fleet;
	tally: Tally;
	scenario: Scenario;
	/** Whether the decode engine or an owner host grants a slot before the prefill. */
	isArbitrated: boolean;
	random: () => number;
};

const release = (state: DecodeState): void => {
	state.used--;
	while (state.waiting.length > 0 && state.waiting.shift()?.() === false) {
		// The first request that has not yet expired takes the slot.
	}
};

export const createRequestFlow = ({agenda, fleet, tally, scenario, isArbitrated, random}: RequestFlowOptions) => {
	const offerMs = scenario.strategy === 'grant' ? 3 * settings.hopMs : settings.hopMs;

	/** Reports the tokens of a stream to its router while the stream is in flight. */
	const noteTokens = (router: Router, choice: Choice, stepMs: number, tokensLeft: number): void => {
		const tokens = Math.min(tokensLeft, Math.floor(settings.noteEveryMs / stepMs));
		if (tokens > 0) {
			agenda.after(tokens * stepMs, () => {
				router.noteTokens(choice, tokens, tokens * stepMs);
				noteTokens(router, choice, stepMs, tokensLeft - tokens);
			});
		}
	};

	const decode = (router: Router, choice: Choice, state: DecodeState, {arrivedAt, answerTokens}: Job): void => {
		const stepMs = fleet.toStepMs(state);
		router.noteFirstToken(choice);
		tally.addAnswer(arrivedAt, agenda.now() - arrivedAt, stepMs);
		if (scenario.slow !== undefined && agenda.now() >= scenario.slow.fromMs && agenda.now() < scenario.slow.toMs) {
			tally.addBegun(arrivedAt, answerTokens <= settings.shortTokens ? 'short' : 'long', isSlowAt(scenario, state.number, agenda.now()));
		}

		noteTokens(router, choice, stepMs, answerTokens);
		agenda.after(answerTokens * stepMs, () => {
			release(state);
			router.noteEnd(choice);
		});
	};

	/** Transfers the KV cache and decodes, in a slot that is already taken. */
	const serve = (router: Router, choice: Choice, state: DecodeState, job: Job): void => {
		state.transfers++;
		agenda.after(job.promptTokens * settings.kvBytesPerToken * state.transfers / settings.linkBytesPerSecond * 1000, () => {
			state.transfers--;
			decode(router, choice, state, job);
		});
	};

	/** Waits for a slot without a reservation until the KV cache expires. */
	const awaitSlot = (router: Router, choice: Choice, state: DecodeState, job: Job): void => {
		tally.add(job.arrivedAt, 'overfull');
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
				tally.add(job.arrivedAt, 'wasted');
				tally.add(job.arrivedAt, 'failed');
				router.noteEnd(choice, {kind: 'refused', reason: 'full'});
			}
		});
	};

	const afterPrefill = (router: Router, choice: Choice, job: Job): void => {
		const state = fleet.toDecode(choice.decode);
		router.notePrefilled(choice, job.promptTokens);
		if (isArbitrated) {
			serve(router, choice, state, job);
			return;
		}

		tally.add(job.arrivedAt, 'offers');
		if (state.used < settings.slots) {
			state.used++;
			serve(router, choice, state, job);
			return;
		}

		awaitSlot(router, choice, state, job);
	};

	/** Runs the prefill, then takes the request to its decode server: into the reserved slot, or into a free one if slots are not reserved. */
	const run = (router: Router, choice: Choice, job: Job): void => {
		const startedAt = agenda.now();
		const prefill = fleet.toPrefill(choice.prefill);
		const ttlMs = choice.placement?.reservationTtlMs ?? settings.reservationMs;
		const doneAt = Math.max(prefill.busyUntil, startedAt) + (job.promptTokens / settings.prefillTokensPerSecond * 1000);
		if (isArbitrated && doneAt - startedAt > ttlMs) {
			// The engine drops queued work when its reservation expires.
			agenda.after(ttlMs, () => {
				tally.add(job.arrivedAt, 'failed');
				release(fleet.toDecode(choice.decode));
				router.noteEnd(choice);
			});
			return;
		}

		prefill.busyUntil = doneAt;
		tally.add(job.arrivedAt, 'prefills');
		agenda.after(doneAt - startedAt, () => {
			afterPrefill(router, choice, job);
		});
	};

	/** Schedules another attempt if no server is suitable, as long as the target can still be met. */
	const waitForRoom = (router: Router, job: Job, leftMs: number): void => {
		if (leftMs <= settings.waitMs) {
			tally.add(job.arrivedAt, 'refused');
			return;
		}

		agenda.after(settings.waitMs * (0.5 + random()), () => {
			attempt(router, job, new Set());
		});
	};

	const offer = (router: Router, choice: Choice, job: Job, exclude: ReadonlySet<string>): void => {
		const state = fleet.toDecode(choice.decode);
		tally.add(job.arrivedAt, 'offers');
		if (state.used < settings.slots) {
			state.used++;
			router.noteReserved(choice);
			run(router, choice, job);
			return;
		}

		tally.add(job.arrivedAt, 'overfull');
		router.noteEnd(choice, {kind: 'refused', reason: 'full'});
		const tried = new Set([...exclude, choice.decode.id]);
		const isNext = tried.size < settings.offersAtOnce;
		agenda.after(isNext ? settings.hopMs : settings.waitMs * (0.5 + random()), () => {
			attempt(router, job, isNext ? tried : new Set());
		});
	};

	/** Has the router choose a pair for the request, then offers the request to it. */
	const attempt = (router: Router, job: Job, exclude: ReadonlySet<string>): void => {
		const leftMs = settings.targetMs - (agenda.now() - job.arrivedAt);
		const choice = leftMs > 0 ? router.choose(job, leftMs, exclude) : undefined;
		if (choice === undefined) {
			waitForRoom(router, job, leftMs);
			return;
		}

		if (!isArbitrated) {
			run(router, choice, job);
			return;
		}

		agenda.after(offerMs, () => {
			offer(router, choice, job, exclude);
		});
	};

	return {attempt};
};
