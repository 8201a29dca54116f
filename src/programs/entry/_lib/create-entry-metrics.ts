/** Metrics of the entry. */
import {latencyBoundsMs, type Metrics} from '../../../adapters/metrics/index.js';
import {type WorkspaceId} from '../../../ports/ids.js';
import {type EndedRequest} from './ended-request.js';
import {type RunMetrics} from './types.js';

const classes = ['quick', 'batch'] as const;
const ends = ['complete', 'refused', 'failed', 'caller-gone'] as const satisfies ReadonlyArray<EndedRequest['end']>;
const outcomes = ['not-run', 'may-have-run', 'ran'] as const;
const wasteCauses = ['caller-gone', 'deadline-passed', 'expired', 'transfer', 'server-lost', 'stopping'] as const;
const dropCauses = ['other-request', 'other-attempt', 'repeated', 'after-end'] as const;
const retryDecisions = ['granted', 'granted-shared', 'ran', 'not-repeatable', 'attempts', 'deadline', 'budget'] as const;
/** Workspaces that are named in metrics; others are counted together. */
const maxNamedWorkspaces = 20;

const passedEnds = ['served', 'not-run', 'failed'] as const;
const streamEnds = ['recorded', 'found', 'unknown', 'gone'] as const;
const cancelEnds = ['confirmed', 'server-gone', 'too-old', 'displaced'] as const;

/** How a request that was passed on to another host ended there. */
export type PassedEnd = typeof passedEnds[number];

/** What became of a stream's origin: told to other hosts, found for a request that continues the stream, not found, or without a server that is left. */
export type StreamEnd = typeof streamEnds[number];

/**
 * Creates the entry's metrics.
 *
 * @param metrics - Registry of the process.
 * @returns Metrics that runs record, and those that the program records itself.
 */
export function createEntryMetrics(metrics: Metrics) {
	const scale = 0.001;
	const requests = metrics.createCounter({
		name: 'requests_total', help: 'Requests by how they ended, but for those that were the caller\'s mistake.', labels: {class: classes, end: ends, outcome: outcomes},
	});
	const firstToken = metrics.createHistogram({
		name: 'first_token_seconds', help: 'Time from a request\'s arrival to its first token.', labels: {class: classes}, bounds: latencyBoundsMs, scale, step: 0.1,
	});
	const duration = metrics.createHistogram({
		name: 'request_seconds', help: 'Time from a request\'s arrival to the end of its whole answer.', labels: {class: classes}, bounds: latencyBoundsMs, scale, step: 0.1,
	});
	const tokens = metrics.createCounter({name: 'relayed_tokens_total', help: 'Tokens of answers relayed to callers.', labels: {class: classes}});
	const dropped = metrics.createCounter({name: 'chunks_dropped_total', help: 'Chunks of engines that were not of the answer and were not relayed.', labels: {cause: dropCauses}});
	const resumed = metrics.createCounter({name: 'streams_resumed_total', help: 'Broken streams read again from where they broke.'});
	const rerun = metrics.createCounter({name: 'attempts_rerun_total', help: 'Attempts that repeat work which was lost.'});
	const retries = metrics.createCounter({name: 'retries_total', help: 'Failed calls by whether another attempt was granted, or why not.', labels: {decision: retryDecisions}});
	const retryCost = metrics.createCounter({name: 'retry_cost_total', help: 'What granted attempts were charged to the retry budgets.'});
	const heldBack = metrics.createCounter({name: 'requests_held_back_total', help: 'Requests that were not sent to a server because of the limit that it states; most went to another server.'});
	const wasted = metrics.createCounter({name: 'wasted_prefills_total', help: 'Prefills whose result was not used.', labels: {cause: wasteCauses}});
	const wastedTokens = metrics.createCounter({name: 'wasted_prefill_tokens_total', help: 'Prompt tokens of prefills whose result was not used.', labels: {cause: wasteCauses}});
	const cancels = metrics.createCounter({name: 'cancels_total', help: 'Cancels of attempts on engines, by how they ended.', labels: {end: cancelEnds}});
	const pauses = metrics.createCounter({name: 'pauses_total', help: 'Times that the process woke up after it was paused.'});
	const loopDelay = metrics.createCounter({name: 'event_loop_late_milliseconds_total', help: 'Time by which the event loop was late, where it was more than 200 ms; what arrived meanwhile was read late.'});
	const leftUnstarted = metrics.createCounter({name: 'requests_left_unstarted_total', help: 'Requests that were read and not started before their callers had left.'});
	const overLimit = metrics.createCounter({
		name: 'over_limit_total', help: 'Requests refused because their workspace had used its limit.', labels: {workspace: {max: maxNamedWorkspaces}},
	});
	const passedOn = metrics.createCounter({name: 'passed_on_total', help: 'Requests passed on to another host that reaches the servers, by how they ended there.', labels: {end: passedEnds}});
	const streams = metrics.createCounter({name: 'stream_origins_total', help: 'Origins of streams: recorded, found for requests that continue a stream, unknown, or without a server that is left.', labels: {end: streamEnds}});
	const runMetrics: RunMetrics = {
		firstToken(run, ms) {
			firstToken.record({class: run.rule.then.class}, ms);
		},
		countDroppedChunk(cause) {
			dropped.add({cause});
		},
		countResume() {
			resumed.add({});
		},
		countRerun() {
			rerun.add({});
		},
		countRetryDecision(decision, cost) {
			retries.add({decision});
			retryCost.add({}, cost);
		},
		countWastedPrefill(cause, promptTokens) {
			wasted.add({cause});
			wastedTokens.add({cause}, promptTokens);
		},
	};

	return {
		runMetrics,
		countPassedOn(end: PassedEnd) {
			passedOn.add({end});
		},
		countStream(end: StreamEnd) {
			streams.add({end});
		},
		/** Counts tokens that an engine client dropped before they reached a run. */
		countDroppedTokens(cause: 'crossed' | 'repeated') {
			dropped.add({cause: cause === 'crossed' ? 'other-request' : 'repeated'});
		},
		/** Registers the gauges that are sampled at each scrape. */
		sample(samples: Readonly<Record<'inProgress' | 'waiting' | 'openAnswers' | 'unstarted' | 'cancelsPending' | 'quarantined' | 'quarantinedParts', () => number>>) {
			metrics.createSampledGauge({name: 'requests_in_progress', help: 'Requests that a rule decided about and that have not ended.', sample: samples.inProgress});
			metrics.createSampledGauge({name: 'requests_waiting', help: 'Requests that wait for room.', sample: samples.waiting});
			metrics.createSampledGauge({name: 'answers_open', help: 'Answers to callers that are not sent whole.', sample: samples.openAnswers});
			metrics.createSampledGauge({name: 'requests_unstarted', help: 'Requests that were read and not started, because this host is behind.', sample: samples.unstarted});
			metrics.createSampledGauge({name: 'cancels_pending', help: 'Cancels that engines have not confirmed.', sample: samples.cancelsPending});
			metrics.createSampledGauge({name: 'quarantined_requests', help: 'Requests that are not run any more, as servers crashed under them.', sample: samples.quarantined});
			metrics.createSampledGauge({name: 'quarantined_parts', help: 'Parts of prompts, or groups of them, whose requests are not run any more, as servers crashed under them.', sample: samples.quarantinedParts});
		},
		cancels,
		pauses,
		loopDelay,
		countLeftUnstarted() {
			leftUnstarted.add({});
		},
		countHeldBack() {
			heldBack.add({});
		},
		countOverLimit(workspace: WorkspaceId) {
			overLimit.add({workspace});
		},
		recordEndedRequest({rule, end, outcome, completeMs, outputTokens}: EndedRequest) {
			const {class: serviceClass} = rule.then;
			requests.add({class: serviceClass, end, outcome});
			tokens.add({class: serviceClass}, outputTokens);
			if (end === 'complete') {
				duration.record({class: serviceClass}, completeMs);
			}
		},
	};
}
