/** What a run of the placement bench is made of, and what comes out of it. */
import {type ServerRole} from '../../../src/ports/config.js';

/**
 * How a pair is chosen and who counts a decode server's memory.
 *
 * - `round-robin`, `least-lagged`, `two-lagged`: nobody counts; the last report alone decides.
 * - `own-corrected`: createPlacement, that is two draws on reports corrected by own dispatches; nobody counts.
 * - `reserve-lagged`: `two-lagged`, and the decode engine grants or refuses.
 * - `reserve`: createPlacement as it is used, each router with a subset of its own, and the engine grants or refuses.
 * - `reserve-drawn`, `reserve-all`: the same without subsets, with two draws or all servers.
 * - `grant`: createPlacement, and one owner host for each server grants or refuses, one hop away.
 */
export type Strategy = 'round-robin' | 'least-lagged' | 'two-lagged' | 'own-corrected' | 'reserve-lagged' | 'reserve' | 'reserve-drawn' | 'reserve-all' | 'grant';

/** Decode servers whose tokens come late from `fromMs` to `toMs` of the run. */
export type SlowServers = {
	count: number;
	/** Time between tokens against the usual one. */
	factor: number;
	/** Whether the load reports of these servers say so. */
	isReported: boolean;
	fromMs: number;
	toMs: number;
};

export type Scenario = {
	strategy: Strategy;
	routers: number;
	/** Offered requests over what the decode servers can carry. */
	load: number;
	/** Milliseconds between a server's reports, and until one is seen; 0 for both means instant. */
	reportEveryMs: number;
	reportLagMs: number;
	/** Roles whose servers are seen at once, whatever the reports do: tells which late sight costs what. */
	instantRoles?: readonly ServerRole[];
	/** Size of the fleet against `settings`. */
	scale?: number;
	/** Part of all requests that comes to the first router, beyond an even share. */
	skew?: number;
	slow?: SlowServers;
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
	/** Answers of each length that began on a slow server, over those that began while there was one. */
	slowShare: Readonly<Record<AnswerLength, number>>;
	/** Answers whose tokens came later than the target between tokens, over all answers. */
	slowTokens: number;
};

/** Lookups are short, letters and scenes long. */
export type AnswerLength = 'short' | 'long';

export const settings = {
	decodeServers: 12,
	prefillServers: 15,
	slots: 20,
	/** Mean length of a prompt; a fixed part, and an exponential one. */
	promptTokens: 1600,
	minPromptTokens: 100,
	prefillTokensPerSecond: 8000,
	/** Mean length of an answer, exponential; at `stepMs` it holds its slot for four seconds. */
	answerTokens: 200,
	stepMs: 20,
	/** Answers up to this length count as short. */
	shortTokens: 50,
	kvBytesPerToken: 131_250,
	linkBytesPerSecond: 3_000_000_000,
	targetMs: 1300,
	perTokenTargetMs: 61,
	/** Time after which a router notes how the tokens of a stream came. */
	noteEveryMs: 500,
	kvLifeMs: 800,
	/** Life of a reservation asked for by a router that predicts nothing. */
	reservationMs: 2000,
	hopMs: 1,
	waitMs: 100,
	offersAtOnce: 3,
	warmupMs: 20_000,
};

export const toSlots = ({scale = 1}: Pick<Scenario, 'scale'>): number => Math.round(settings.decodeServers * scale) * settings.slots;

/** Requests a second that the decode servers carry when all slots are always taken and no server is slow. */
export const toCapacity = (scenario: Pick<Scenario, 'scale'> = {}): number =>
	toSlots(scenario) / (settings.answerTokens * settings.stepMs / 1000);

/** Whether a server of the given number is slow then. */
export const isSlowAt = ({slow}: Pick<Scenario, 'slow'>, decodeNumber: number, at: number): boolean =>
	slow !== undefined && decodeNumber < slow.count && at >= slow.fromMs && at < slow.toMs;
