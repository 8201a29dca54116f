/**
 * Relays the tokens of one attempt, and resumes its stream where the connection
 * broke.
 */
import {type ObservedTokens} from '../../../domain/create-inter-token-latency/index.js';
import {
	type AttemptKey, type DecodeChunk, type Engine, type EngineFailure, type EngineStreamError,
} from '../../../ports/engine.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {msPerSecond} from '../../../ports/units.js';
import {createStepSignal, runStep, type StepSignal} from '../_lib/step.js';
import {type Run, type RunServices} from '../_lib/types.js';
import {createPaceMeter, type PaceMeter} from './_lib/create-pace-meter.js';

export type RelayEnd =
	| {kind: 'complete'}
	| {kind: 'gone'}
	/** The stream broke and could not be resumed. */
	| {kind: 'failed'; failure: EngineFailure};

/** Stall timeout of a stream as a multiple of the per-token target; a stalled stream is resumed over a new connection. */
const stallFactor = 40;
const minStallMs = 2 * msPerSecond;
/** Maximum number of consecutive resumes without a token. */
const maxFruitlessResumes = 2;
const resumeTimeoutMs = 2 * msPerSecond;

/**
 * @param run - The request, whose rule has the per-token target.
 * @returns Time without a token after which a stream counts as stalled, milliseconds.
 */
export function toStallTimeoutMs(run: Run): number {
	return Math.max(minStallMs, run.rule.then.target.perTokenMs * stallFactor);
}

function toBroken(server: string, message: string): EngineFailure {
	return {
		kind: 'broken', reason: undefined, server, message, retryAfterMs: undefined,
	};
}

function toFailure(error: unknown, server: string): EngineFailure {
	const {failure} = error as Partial<EngineStreamError>;
	return failure ?? toBroken(server, error instanceof Error ? error.message : 'the stream broke with an unknown error');
}

type Reader = {
	run: Run;
	services: RunServices;
	server: string;
	origin: StreamOrigin;
	step: StepSignal;
	meter: PaceMeter;
};

/** Reads one connection to its end; `undefined` means that the answer is complete. */
async function readStream(reader: Reader, stream: AsyncIterable<DecodeChunk>): Promise<EngineFailure | undefined> {
	const {
		run, services, step, meter,
	} = reader;
	const {buffer, delivery} = run;
	try {
		for await (const chunk of stream) {
			step.refresh();
			const accepted = buffer.accept(chunk);
			if (accepted.kind === 'gap') {
				return toBroken(reader.server, `tokens from ${accepted.offset} on are missing`);
			}

			if (accepted.kind === 'dropped') {
				services.runMetrics.countDroppedChunk(accepted.cause);
				continue;
			}

			if (accepted.tokens > 0) {
				meter.add(accepted.tokens);
			}

			if (accepted.tokens > 0 && buffer.offset() === accepted.tokens) {
				noteFirstToken(reader);
			}

			if (!delivery.relay(accepted.text) && !await waitForCaller(reader)) {
				return {...toBroken(reader.server, 'the caller stopped reading'), kind: 'aborted'};
			}

			if (accepted.finish !== undefined) {
				return undefined;
			}
		}

		return toBroken(reader.server, 'the stream ended without a finish reason');
	} catch (error) {
		return toFailure(error, reader.server);
	}
}

/** Waits until the caller has read. The stall timeout and the sample stop meanwhile, as the delay is not the engine's. */
async function waitForCaller({run, step, meter}: Reader): Promise<boolean> {
	meter.stop();
	step.disarm();
	const isReading = await run.delivery.drained();
	step.arm(toStallTimeoutMs(run));
	return isReading;
}

function noteFirstToken({run, services, origin}: Reader): void {
	const now = services.clock.now();
	const firstTokenMs = now - run.receivedAt;
	run.ledger.noteRan(now);
	run.stream.noteEvents(origin);
	services.gate.noteFirstToken(run.id);
	services.runMetrics.firstToken(run, firstTokenMs);
	run.account.addStage('first token');
	run.log.info('first token relayed', {firstTokenMs});
}

export type RelayOptions = {
	run: Run;
	services: RunServices;
	engine: Engine;
	key: AttemptKey;
	server: string;
	/** Pool and software version of the server. */
	origin: StreamOrigin;
	/** Signal with which `stream` was opened; closed at the end of the stream. */
	step: StepSignal;
	stream: AsyncIterable<DecodeChunk>;
	/** Called with samples of the token rate during the stream. */
	noteTokens: (seen: ObservedTokens) => void;
};

/**
 * Relays the stream of an attempt to its end. As long as the server still has the
 * stream, a broken connection is replaced by one that continues at the next offset,
 * without a second run.
 *
 * @param options - The run, the engine, and the open stream.
 * @returns How the attempt ended.
 */
export async function relayStream(options: RelayOptions): Promise<RelayEnd> {
	const {
		run, services, engine, key, server, origin, noteTokens,
	} = options;
	let {stream, step} = options;
	const meter = createPaceMeter(services.clock.now, noteTokens);
	let fruitlessResumes = 0;
	for (;;) {
		const before = run.buffer.offset();
		step.arm(toStallTimeoutMs(run));
		const failure = await readStream({
			run, services, server, origin, step, meter,
		}, stream);
		meter.stop();
		step.close();
		if (failure === undefined) {
			return {kind: 'complete'};
		}

		if (run.signal.aborted || (failure.kind === 'aborted' && !step.isTimedOut())) {
			return {kind: 'gone'};
		}

		fruitlessResumes = run.buffer.offset() > before ? 0 : fruitlessResumes + 1;
		if (fruitlessResumes > maxFruitlessResumes || failure.kind === 'gone') {
			return {kind: 'failed', failure};
		}

		const offset = run.buffer.offset();
		run.account.addStage('stream broke', {
			server, offset, failure: failure.kind, message: failure.message,
		});
		run.log.warn('stream broke, resuming it', {
			attempt: key.attempt, server, offset, kind: failure.kind, reason: failure.message,
		});
		services.runMetrics.countResume();
		step = createStepSignal(run.signal, services.clock.now);
		const resumed = await runStep(step, {limitMs: resumeTimeoutMs, server}, signal => engine.resume(key, offset, {signal}));
		if (resumed.isErr()) {
			step.close();
			return run.signal.aborted ? {kind: 'gone'} : {kind: 'failed', failure: resumed.error};
		}

		stream = resumed.value;
	}
}
