/** Parameters and results of the placement bench. */
import {type ServerRole} from '../../../src/ports/config.js';

/**
 * How a router chooses a pair of servers, and who reserves the slots of a decode server.
 *
 * - `round-robin`, `least-lagged`, `two-lagged`: slots are not reserved. The first takes servers in turn; the others compare the last load reports of all servers, or of two drawn at random.
 * - `own-corrected`: slots are not reserved. `createPlacement` draws two servers and compares their load reports, corrected by the router's own dispatches.
 * - `reserve-lagged`: as `two-lagged`, and the decode engine grants or refuses a slot.
 * - `reserve`: `createPlacement` as in production, with a subset of the servers for each router; the decode engine grants or refuses a slot.
 * - `reserve-drawn`, `reserve-all`: as `reserve` but without subsets; compares two drawn servers, or all of them.
 * - `grant`: `createPlacement`, and an owner host for each server, one hop away, grants or refuses a slot.
 */
export type Strategy = 'round-robin' | 'least-lagged' | 'two-lagged' | 'own-corrected' | 'reserve-lagged' | 'reserve' | 'reserve-drawn' | 'reserve-all' | 'grant';

/** Decode servers that generate tokens slowly from `fromMs` to `toMs` of the run. */
export type SlowServers = {
	count: number;
	/** Time between tokens, as a multiple of the usual time. */
	factor: number;
	/** Whether the load reports of these servers show the lower rate. */
	isReported: boolean;
	fromMs: number;
	toMs: number;
};

export type Scenario = {
	strategy: Strategy;
	routers: number;
	/** Offered requests as a fraction of the capacity of the decode servers. */
	load: number;
	/** Time between two load reports of a server; 0 means that routers always see the current load. */
	reportEveryMs: number;
	/** Delay until routers see a load report. */
	reportLagMs: number;
	/** Roles whose current load routers always see; isolates the cost of delayed reports by role. */
	instantRoles?: readonly ServerRole[];
	/** Size of the fleet as a multiple of `settings`. */
	scale?: number;
	/** Fraction of all requests that the first router receives on top of its even share of the rest. */
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
	/** Fraction of all offers that reached a decode server without a free slot. */
	overfullShare: number;
	/** Mean number of refusals by engines or owner hosts per request. */
	refusalsPerRequest: number;
	/** Fraction of all prefills whose result was not used. */
	wastedPrefillShare: number;
	/** Answers within the target as a fraction of the capacity of the decode servers. */
	goodput: number;
	firstTokenP50: number;
	firstTokenP99: number;
	/** Fraction of the answers of each length that began on a slow server, among those that began while some servers were slow. */
	slowShare: Readonly<Record<AnswerLength, number>>;
	/** Fraction of all answers whose time per token exceeded its target. */
	slowTokens: number;
};

/** Kinds of answers by length: lookups are short, letters and scenes long. */
export type AnswerLength = 'short' | 'long';

export const settings = {
	decodeServers: 12,
	prefillServers: 15,
	slots: 20,
	/** Mean length of a prompt: `minPromptTokens` plus an exponentially distributed part. */
	promptTokens: 1600,
	minPromptTokens: 100,
	prefillTokensPerSecond: 8000,
	/** Mean length of an answer, exponentially distributed; at `stepMs` the mean answer holds its slot for four seconds. */
	answerTokens: 200,
	stepMs: 20,
	/** Answers up to this length count as short. */
	shortTokens: 50,
	kvBytesPerToken: 131_250,
	linkBytesPerSecond: 3_000_000_000,
	targetMs: 1300,
	perTokenTargetMs: 61,
	/** Interval at which a router notes the token rate of a stream. */
	noteEveryMs: 500,
	kvLifeMs: 800,
	/** Lifetime of a reservation by a router that makes no predictions. */
	reservationMs: 2000,
	hopMs: 1,
	waitMs: 100,
	offersAtOnce: 3,
	warmupMs: 20_000,
};

export const toSlots = ({scale = 1}: Pick<Scenario, 'scale'>): number => Math.round(settings.decodeServers * scale) * settings.slots;

/** Requests a second that the decode servers complete while all slots are taken and no server is slow. */
export const toCapacity = (scenario: Pick<Scenario, 'scale'> = {}): number =>
	toSlots(scenario) / (settings.answerTokens * settings.stepMs / 1000);

/** Whether the decode server with the given number is slow at a time. */
export const isSlowAt = ({slow}: Pick<Scenario, 'slow'>, decodeNumber: number, at: number): boolean =>
	slow !== undefined && decodeNumber < slow.count && at >= slow.fromMs && at < slow.toMs;
