/**
 * The prefill side: a queue in which quick requests go before batch ones, a limited
 * number of concurrent computations, and KV caches that are kept for a short time.
 */
import {type AttemptKey, type Hold, type PrefillResult} from '../../../../src/ports/engine.js';
import {type ServiceClass} from '../../../../src/ports/outcome.js';
import {RequestFault} from '../../_lib/http-server.js';
import {countPromptTokens, expectedAnswer} from './answer.js';
import {type Judge} from './create-judge.js';
import {type PrefixCache} from './create-prefix-cache.js';
import {refuse} from './refuse.js';
import {type EngineSettings, type WasteCause} from './types.js';

export type PrefillCall = {
	key: AttemptKey;
	prompt: string;
	answered: readonly string[];
	class: ServiceClass;
	deadlineAt: number;
};

/** Description of a KV cache, as sent from one engine to another. */
export type KvCache = {
	kvId: string;
	key: AttemptKey;
	prompt: string;
	answeredCount: number;
	promptTokens: number;
	bytes: number;
};

type Job = PrefillCall & {
	id: string;
	state: 'queued' | 'prefill';
	tokens: number;
	since: number;
	timer: NodeJS.Timeout | undefined;
	settle: {resolve: (result: PrefillResult) => void; reject: (err: Error) => void};
};

type HeldKv = KvCache & {
	since: number;
	timer: NodeJS.Timeout | undefined;
	transfers: Set<AbortController>;
	hadTransfer: boolean;
};

type Options = {settings: EngineSettings; judge: Judge; cache: PrefixCache; onChange: () => void};

const isSameAttempt = (a: AttemptKey, b: AttemptKey): boolean => a.requestId === b.requestId && a.attempt === b.attempt;

const isAnswerPrefix = (answered: readonly string[], prompt: string): boolean => {
	const right = expectedAnswer(prompt, answered.length);
	return answered.every((token, offset) => token === right[offset]);
};

export const createPrefills = ({settings, judge, cache, onChange}: Options) => {
	const queue: Job[] = [];
	const running = new Set<Job>();
	const held = new Map<string, HeldKv>();
	let count = 0;
	let freeAt = 0;

	const dropKv = (kv: HeldKv, cause: WasteCause | undefined): void => {
		clearTimeout(kv.timer);
		held.delete(kv.kvId);
		for (const transfer of kv.transfers) {
			transfer.abort();
		}

		if (cause !== undefined) {
			judge.recordWaste(kv.key, cause);
		}

		onChange();
	};

	const isExpired = (kv: HeldKv): boolean => performance.now() - kv.since >= settings.kvTtlMs;

	const expireKv = (kv: HeldKv): void => {
		if (kv.transfers.size === 0) {
			dropKv(kv, kv.hadTransfer ? 'transfer-failed' : 'expired-before-transfer');
			return;
		}

		// A transfer in progress keeps the cache alive, for ten times its lifetime at most.
		kv.timer = setTimeout(() => {
			dropKv(kv, 'transfer-failed');
		}, settings.kvTtlMs * 10);
	};

	const finish = (job: Job, cachedTokens: number): void => {
		running.delete(job);
		cache.store(job.prompt);
		judge.count(job.key, 'prefillsFinished');
		const kv: HeldKv = {
			kvId: job.id,
			key: job.key,
			prompt: job.prompt,
			answeredCount: job.answered.length,
			promptTokens: job.tokens,
			bytes: job.tokens * settings.bytesPerPromptToken,
			since: performance.now(),
			timer: undefined,
			transfers: new Set(),
			hadTransfer: false,
		};
		kv.timer = setTimeout(() => {
			expireKv(kv);
		}, settings.kvTtlMs);
		held.set(kv.kvId, kv);
		job.settle.resolve({
			kvId: kv.kvId, promptTokens: kv.promptTokens, cachedTokens, bytes: kv.bytes, expiresInMs: settings.kvTtlMs,
		});
		pump();
	};

	const start = (job: Job): void => {
		job.state = 'prefill';
		running.add(job);
		judge.count(job.key, 'prefillsStarted');
		if (!isAnswerPrefix(job.answered, job.prompt)) {
			judge.count(job.key, 'wrongContinuations');
		}

		const cachedTokens = Math.min(job.tokens, cache.countCached(job.prompt));
		const costMs = settings.prefillBaseMs + ((job.tokens - cachedTokens) / settings.prefillTokensPerSecond * 1000);
		const now = performance.now();
		// With a concurrency of one, the next computation starts at the planned end of the last, so a late timer does not reduce capacity.
		const from = settings.prefillConcurrency === 1 && now - freeAt < 20 ? Math.max(freeAt, job.since) : now;
		freeAt = from + costMs;
		job.timer = setTimeout(() => {
			finish(job, cachedTokens);
		}, Math.max(0, freeAt - now));
	};

	const takeNext = (): Job | undefined => {
		const index = queue.findIndex(job => job.class === 'quick');
		return queue.splice(Math.max(index, 0), 1)[0];
	};

	const pump = (): void => {
		while (queue.length > 0 && running.size < settings.prefillConcurrency) {
			const job = takeNext();
			if (job === undefined) {
				break;
			}

			if (performance.now() > job.deadlineAt) {
				job.settle.reject(refuse('expired', 'the deadline passed in the queue'));
				continue;
			}

			start(job);
		}

		onChange();
	};

	const cancelJob = (job: Job): void => {
		if (job.state === 'prefill') {
			clearTimeout(job.timer);
			running.delete(job);
			freeAt = Math.min(freeAt, performance.now());
			judge.recordWaste(job.key, 'cancelled-in-prefill');
		} else {
			queue.splice(queue.indexOf(job), 1);
		}

		job.settle.reject(new RequestFault(410, {error: {reason: 'other', message: 'cancelled'}}));
	};

	return {
		async run(call: PrefillCall): Promise<PrefillResult> {
			if ([...queue, ...running, ...held.values()].some(other => isSameAttempt(other.key, call.key))) {
				throw refuse('duplicate', 'this attempt already has a prefill here');
			}

			count += 1;
			const id = `${settings.id}-kv-${count}`;
			const tokens = countPromptTokens(call.prompt) + call.answered.length;
			return new Promise((resolve, reject) => {
				queue.push({
					...call, id, tokens, state: 'queued', since: performance.now(), timer: undefined, settle: {resolve, reject},
				});
				pump();
			});
		},
		/** Begins a transfer of a cache; `done` ends it and is told whether the transfer was complete. */
		beginTransfer(kvId: string): {kv: KvCache; signal: AbortSignal; done: (isWhole: boolean) => void} | undefined {
			const kv = held.get(kvId);
			// An expired cache is only kept for transfers in progress.
			if (kv === undefined || isExpired(kv)) {
				return undefined;
			}

			const transfer = new AbortController();
			const {timer, since, transfers, hadTransfer, ...rest} = kv;
			transfers.add(transfer);
			kv.hadTransfer = true;
			return {
				kv: rest,
				signal: transfer.signal,
				done(isWhole) {
					transfers.delete(transfer);
					if (!held.has(kvId)) {
						return;
					}

					if (isWhole) {
						dropKv(kv, undefined);
					} else if (isExpired(kv) && transfers.size === 0) {
						dropKv(kv, 'transfer-failed');
					}
				},
			};
		},
		cancel(key: AttemptKey): number {
			const jobs = [...queue, ...running].filter(job => isSameAttempt(job.key, key));
			const kvs = [...held.values()].filter(kv => isSameAttempt(kv.key, key));
			for (const job of jobs) {
				cancelJob(job);
			}

			for (const kv of kvs) {
				dropKv(kv, kv.hadTransfer ? 'cancelled-in-transfer' : 'cancelled-before-transfer');
			}

			pump();
			return jobs.length + kvs.length;
		},
		holds(): Hold[] {
			const now = performance.now();
			const jobs = [...queue, ...running].map(job => ({
				...job.key, kind: job.state, bytes: 0, heldForMs: now - job.since, readers: 0,
			}));
			const kvs = [...held.values()].map(kv => ({
				...kv.key, kind: 'kv' as const, bytes: kv.bytes, heldForMs: now - kv.since, readers: 0,
			}));
			return [...jobs, ...kvs];
		},
		numbers: () => ({
			slotsUsed: running.size,
			queued: queue.length,
			queuedTokens: [...queue, ...running].reduce((sum, job) => sum + job.tokens, 0),
		}),
		/** Drops all state, as the end of the engine's process would. */
		clear() {
			for (const job of [...queue, ...running]) {
				clearTimeout(job.timer);
				job.settle.reject(new RequestFault(500, {error: 'stopped'}));
			}

			for (const job of running) {
				judge.recordWaste(job.key, 'server-lost');
			}

			queue.length = 0;
			running.clear();
			freeAt = 0;
			for (const kv of held.values()) {
				dropKv(kv, 'server-lost');
			}
		},
	};
};

export type Prefills = ReturnType<typeof createPrefills>;
