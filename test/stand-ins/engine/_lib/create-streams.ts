/**
 * The decode side: reservations that expire, imports of KV caches, and streams of a
 * continuous batch. A stream continues without a reader and can be read again.
 */
import {type ServerResponse} from 'node:http';
import {type AttemptKey, type Hold} from '../../../../src/ports/engine.js';
import {RequestFault} from '../../_lib/http-server.js';
import {createAnswer} from './answer.js';
import {type Judge} from './create-judge.js';
import {type KvCache} from './create-prefills.js';
import {refuse} from './refuse.js';
import {writeTokens, type Reader} from './write-tokens.js';
import {type EngineFaults, type EngineSettings, type WasteCause} from './types.js';

type Reservation = {
	key: AttemptKey;
	reservationId: string;
	since: number;
	expiresAt: number;
	timer: NodeJS.Timeout | undefined;
	bytes: number;
	kv: KvCache | undefined;
	importing: AbortController | undefined;
};

export type Stream = {
	key: AttemptKey;
	since: number;
	answer: (offset: number) => string;
	firstOffset: number;
	maxTokens: number;
	/** Number of tokens generated; the fraction is the progress of the next one. */
	progress: number;
	bytes: number;
	readers: Set<Reader>;
	timer: NodeJS.Timeout | undefined;
};

type Options = {settings: EngineSettings; faults: EngineFaults; judge: Judge; onChange: () => void};

const toAttemptId = (key: AttemptKey): string => `${key.requestId}/${key.attempt}`;

const isGenerated = (stream: Stream): boolean => stream.progress >= stream.maxTokens;

export const createStreams = ({settings, faults, judge, onChange}: Options) => {
	const reservations = new Map<string, Reservation>();
	const streams = new Map<string, Stream>();
	let count = 0;
	let ticker: NodeJS.Timeout | undefined;
	let lastTickAt = 0;

	const countSlots = (): number => reservations.size + [...streams.values()].filter(stream => !isGenerated(stream)).length;

	const dropReservation = (held: Reservation, waste: WasteCause | undefined): void => {
		clearTimeout(held.timer);
		reservations.delete(toAttemptId(held.key));
		held.importing?.abort(waste);
		if (waste !== undefined && held.kv !== undefined) {
			judge.recordWaste(held.key, waste);
		}

		onChange();
	};

	const dropStream = (stream: Stream): void => {
		clearTimeout(stream.timer);
		streams.delete(toAttemptId(stream.key));
		for (const reader of stream.readers) {
			reader.res.destroy();
		}

		onChange();
	};

	const finishGeneration = (stream: Stream): void => {
		judge.count(stream.key, 'decodesFinished');
		stream.timer = setTimeout(() => {
			dropStream(stream);
		}, settings.keepAnswerMs);
		onChange();
	};

	const advance = (elapsedMs: number): void => {
		const running = [...streams.values()].filter(stream => !isGenerated(stream));
		const rate = settings.decodeTokensPerSecond / (1 + (settings.batchSlowdown * Math.max(0, running.length - 1)));
		for (const stream of running) {
			const before = Math.floor(stream.progress);
			stream.progress = Math.min(stream.maxTokens, stream.progress + (elapsedMs / 1000 * rate));
			judge.count(stream.key, 'tokens', Math.floor(stream.progress) - before);
			if (isGenerated(stream)) {
				finishGeneration(stream);
			}
		}
	};

	const tick = (): void => {
		const now = performance.now();
		advance(now - lastTickAt);
		lastTickAt = now;
		for (const stream of streams.values()) {
			for (const reader of stream.readers) {
				writeTokens({
					stream, reader, others: streams, faults,
				});
			}
		}

		const isBusy = [...streams.values()].some(stream => !isGenerated(stream) || stream.readers.size > 0);
		ticker = isBusy ? setTimeout(tick, settings.stepMs) : undefined;
	};

	const startTicker = (): void => {
		if (ticker === undefined) {
			lastTickAt = performance.now();
			ticker = setTimeout(tick, settings.stepMs);
		}
	};

	const findReservation = (key: AttemptKey, reservationId: string): Reservation => {
		const held = reservations.get(toAttemptId(key));
		if (held?.reservationId !== reservationId) {
			throw refuse('expired', 'no such reservation');
		}

		return held;
	};

	const addReader = (stream: Stream, offset: number, res: ServerResponse): void => {
		const reader: Reader = {
			res, sent: offset, start: offset, isStalled: false,
		};
		stream.readers.add(reader);
		res.writeHead(200, {'content-type': 'application/x-ndjson'});
		res.flushHeaders();
		// The reader has received the complete answer, so the engine no longer keeps it.
		res.once('finish', () => {
			if (reader.sent >= stream.maxTokens && isGenerated(stream)) {
				dropStream(stream);
			}
		});
		res.once('close', () => {
			stream.readers.delete(reader);
		});
		startTicker();
	};

	return {
		countSlots,
		reserve(key: AttemptKey, tokens: number, ttlMs: number): {reservationId: string; expiresInMs: number} {
			if (reservations.has(toAttemptId(key)) || streams.has(toAttemptId(key))) {
				throw refuse('duplicate', 'this attempt is already here');
			}

			if (countSlots() >= settings.slots) {
				throw refuse('full', `all ${settings.slots} slots are taken`);
			}

			count += 1;
			const now = performance.now();
			const held: Reservation = {
				key,
				reservationId: `${settings.id}-r-${count}`,
				since: now,
				expiresAt: now + ttlMs,
				timer: undefined,
				bytes: tokens * settings.bytesPerPromptToken,
				kv: undefined,
				importing: undefined,
			};
			held.timer = setTimeout(() => {
				dropReservation(held, 'expired-before-decode');
			}, ttlMs);
			reservations.set(toAttemptId(key), held);
			judge.count(key, 'reservations');
			onChange();
			return {reservationId: held.reservationId, expiresInMs: ttlMs};
		},
		/** Pulls a cache into a reservation. The pull is aborted when the reservation ends. */
		async importKv(key: AttemptKey, reservationId: string, pull: (signal: AbortSignal) => Promise<KvCache>): Promise<{bytes: number}> {
			const held = findReservation(key, reservationId);
			if (held.importing !== undefined) {
				throw refuse('duplicate', 'an import for this reservation runs');
			}

			held.importing = new AbortController();
			try {
				const kv = await pull(held.importing.signal);
				if (held.importing.signal.aborted) {
					judge.recordWaste(key, held.importing.signal.reason as WasteCause);
					throw refuse('expired', 'the reservation ended during the import');
				}

				held.kv = kv;
				return {bytes: kv.bytes};
			} catch (error) {
				if (held.importing.signal.aborted) {
					throw refuse('expired', 'the reservation ended during the import');
				}

				throw error;
			} finally {
				held.importing = undefined;
			}
		},
		start({key, reservationId, maxTokens, answerOffset}: {key: AttemptKey; reservationId: string; maxTokens: number; answerOffset: number}, res: ServerResponse): void {
			if (streams.has(toAttemptId(key))) {
				throw refuse('duplicate', 'this attempt already has a stream');
			}

			const held = findReservation(key, reservationId);
			if (held.kv === undefined) {
				throw refuse('other', 'no cache was imported');
			}

			if (held.kv.answeredCount !== answerOffset || answerOffset > maxTokens) {
				throw refuse('other', 'answerOffset does not fit the cache');
			}

			dropReservation(held, undefined);
			const stream: Stream = {
				key,
				since: performance.now(),
				answer: createAnswer(held.kv.prompt),
				firstOffset: answerOffset,
				maxTokens,
				progress: answerOffset,
				bytes: held.kv.bytes,
				readers: new Set(),
				timer: undefined,
			};
			streams.set(toAttemptId(key), stream);
			judge.count(key, 'decodesStarted');
			if (isGenerated(stream)) {
				finishGeneration(stream);
			}

			addReader(stream, answerOffset, res);
			onChange();
		},
		resume(requestId: string, attempt: number, offset: number, res: ServerResponse): void {
			const stream = streams.get(`${requestId}/${attempt}`);
			if (stream === undefined) {
				throw new RequestFault(410, {error: {reason: 'other', message: 'no such stream'}});
			}

			if (!Number.isInteger(offset) || offset < stream.firstOffset || offset > stream.progress) {
				throw new RequestFault(400, {error: 'offset outside of the stream'});
			}

			addReader(stream, offset, res);
		},
		cancel(key: AttemptKey): number {
			const held = reservations.get(toAttemptId(key));
			const stream = streams.get(toAttemptId(key));
			if (held !== undefined) {
				dropReservation(held, 'cancelled-before-decode');
			}

			if (stream !== undefined) {
				dropStream(stream);
			}

			return (held === undefined ? 0 : 1) + (stream === undefined ? 0 : 1);
		},
		holds(): Hold[] {
			const now = performance.now();
			const waiting = [...reservations.values()].map(held => ({
				...held.key, kind: 'reservation' as const, bytes: held.bytes, heldForMs: now - held.since, readers: 0,
			}));
			const running = [...streams.values()].map(stream => ({
				...stream.key, kind: 'stream' as const, bytes: stream.bytes, heldForMs: now - stream.since, readers: stream.readers.size,
			}));
			return [...waiting, ...running];
		},
		numbers: () => ({slotsUsed: countSlots(), queued: 0, queuedTokens: 0}),
		/** Drops all state, as the end of the engine's process would. */
		clear() {
			for (const held of reservations.values()) {
				dropReservation(held, 'server-lost');
			}

			for (const stream of streams.values()) {
				dropStream(stream);
			}

			clearTimeout(ticker);
			ticker = undefined;
		},
	};
};

export type Streams = ReturnType<typeof createStreams>;
