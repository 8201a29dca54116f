/** One imitated engine without HTTP: the calls of the protocol as functions. */
import {type ServerResponse} from 'node:http';
import {Agent} from 'undici';
import {type AttemptKey, type EngineOrder, type LoadReport} from '../../../../src/ports/engine.js';
import {isRecord} from '../../../../src/_lib/is-record/index.js';
import {
	type JsonBody, RequestFault, toNumber, toText,
} from '../../_lib/http-server.js';
import {createJudge} from './create-judge.js';
import {createLink} from './create-link.js';
import {createLoadLog} from './create-load-log.js';
import {createOrders} from './create-orders.js';
import {createPrefills} from './create-prefills.js';
import {createPrefixCache} from './create-prefix-cache.js';
import {createStreams} from './create-streams.js';
import {refuse} from './refuse.js';
import {takeFault} from './take-fault.js';
import {serveKv, pullKv} from './transfer-kv.js';
import {type EngineFaults, type EngineSettings, type JudgeReport} from './types.js';

export type WorkCall = 'reservations' | 'prefills' | 'imports' | 'streams' | 'orders';

const maxCancelled = 100_000;

/** Reads the key of the attempt from the body of a call. */
export const toKey = (body: JsonBody): AttemptKey => {
	const {key} = body;
	if (!isRecord(key) || !isRecord(key.owner)) {
		throw new RequestFault(400, {error: 'key names no attempt'});
	}

	const owner = {host: toText(key.owner, 'host'), incarnation: toNumber(key.owner, 'incarnation')};
	return {requestId: toText(key, 'requestId'), attempt: toNumber(key, 'attempt'), owner};
};

const toAnswered = (body: JsonBody): string[] => Array.isArray(body.answered) ? body.answered.map(String) : [];

export const createEngine = (settings: EngineSettings, faults: EngineFaults) => {
	const judge = createJudge();
	const link = createLink(settings.linkBytesPerSecond);
	const {network} = settings;
	const dispatcher = new Agent({connections: 64, ...(network && {localAddress: network.localAddress})});
	const cache = createPrefixCache({blocks: settings.cacheBlocks, lagMs: settings.cacheEventLagMs, gap: settings.cacheEventGap});
	/** Cancelled attempts; a late call for one of them starts nothing. */
	const cancelled = new Set<string>();
	let lastAcceptedAtMs: number | undefined;
	let peakSlotsUsed = 0;

	const onChange = (): void => {
		peakSlotsUsed = Math.max(peakSlotsUsed, streams.countSlots());
		loadLog.record();
	};

	const orders = createOrders({settings, judge, onChange});
	const prefills = createPrefills({
		settings, judge, cache, onChange,
	});
	const streams = createStreams({
		settings, faults, judge, onChange,
	});
	const {served} = orders;

	const readNumbers = () => ({
		state: served.state,
		role: served.role,
		model: served.model,
		version: served.version,
		adapters: [...served.adapters],
		fence: served.fence,
		...(served.role === 'prefill' ? prefills : streams).numbers(),
	});
	const loadLog = createLoadLog(settings.loadLagMs, readNumbers);

	const checkStart = (key: AttemptKey, call: WorkCall): void => {
		const {refuse: fault} = faults;
		const isAffected = fault !== undefined && (fault.on === undefined ? call !== 'orders' : fault.on.includes(call));
		if (isAffected && takeFault(fault)) {
			throw refuse(fault.reason, 'refused by a fault switch', fault.retryAfterMs);
		}

		if (cancelled.has(`${key.requestId}/${key.attempt}`)) {
			throw refuse('duplicate', 'this attempt was cancelled');
		}
	};

	const recordAcceptance = (): void => {
		lastAcceptedAtMs = performance.now();
	};

	return {
		judge,
		setState(state: LoadReport['state']) {
			served.state = state;
			onChange();
		},
		reserve(body: JsonBody) {
			const key = toKey(body);
			judge.countOffer(key);
			checkStart(key, 'reservations');
			orders.check({}, 'decode');
			const tokens = toNumber(body, 'promptTokens') + toNumber(body, 'maxTokens');
			const reservation = streams.reserve(key, tokens, toNumber(body, 'ttlMs'));
			recordAcceptance();
			return reservation;
		},
		async prefill(body: JsonBody) {
			const key = toKey(body);
			judge.countOffer(key);
			judge.recordPrompt(key, toText(body, 'prompt'));
			checkStart(key, 'prefills');
			orders.check({model: toText(body, 'model'), version: body.version ?? undefined, adapter: body.adapter ?? undefined}, 'prefill');
			recordAcceptance();
			return prefills.run({
				key,
				prompt: toText(body, 'prompt'),
				answered: toAnswered(body),
				class: toText(body, 'class') === 'quick' ? 'quick' : 'batch',
				deadlineAt: performance.now() + toNumber(body, 'deadlineInMs'),
			});
		},
		async importKv(body: JsonBody) {
			const key = toKey(body);
			checkStart(key, 'imports');
			const fromUrl = toText(body, 'fromUrl');
			const kvId = toText(body, 'kvId');
			return streams.importKv(key, toText(body, 'reservationId'), async signal => pullKv({
				fromUrl: network?.toUrl(fromUrl) ?? fromUrl, kvId, link, signal, dispatcher,
			}));
		},
		async serveKv(kvId: string, res: ServerResponse) {
			await serveKv({
				prefills, kvId, res, link, faults,
			});
		},
		decode(body: JsonBody, res: ServerResponse) {
			const key = toKey(body);
			checkStart(key, 'streams');
			streams.start({
				key,
				reservationId: toText(body, 'reservationId'),
				maxTokens: toNumber(body, 'maxTokens'),
				answerOffset: toNumber(body, 'answerOffset', 0),
			}, res);
		},
		resume: streams.resume,
		cancel(body: JsonBody): {released: number} {
			const key = toKey(body);
			cancelled.add(`${key.requestId}/${key.attempt}`);
			if (cancelled.size > maxCancelled) {
				cancelled.delete([...cancelled][0] ?? '');
			}

			judge.count(key, 'cancels');
			return {released: prefills.cancel(key) + streams.cancel(key)};
		},
		holds: () => [...prefills.holds(), ...streams.holds()],
		load: (): LoadReport => ({
			...readNumbers(),
			...loadLog.readLagged(),
			server: settings.id,
			ageMs: settings.loadLagMs,
			slotsTotal: served.role === 'prefill' ? settings.prefillConcurrency : settings.slots,
			tokensPerSecond: served.role === 'prefill' ? settings.prefillTokensPerSecond : settings.decodeTokensPerSecond,
			linkBytesPerSecond: settings.linkBytesPerSecond,
		}),
		order(body: JsonBody): void {
			const order: EngineOrder = {
				kind: toText(body, 'kind') as EngineOrder['kind'],
				model: toText(body, 'model'),
				version: body.version as string | undefined,
				adapter: body.adapter as string | undefined,
				role: body.role as EngineOrder['role'],
				fence: toNumber(body, 'fence'),
			};
			checkStart({requestId: '', attempt: 0, owner: {host: '', incarnation: 0}}, 'orders');
			orders.accept(order);
		},
		cacheEvents: cache.eventsSince,
		judgeReport(): JudgeReport {
			return {
				id: settings.id,
				...judge.report(),
				holds: [...prefills.holds(), ...streams.holds()],
				lastAcceptedAtMs,
				peakSlotsUsed,
			};
		},
		/** Drops all state, as the end of the process would; the counts of the judge stay. */
		clear() {
			prefills.clear();
			streams.clear();
			orders.clear();
			cache.clear();
			cancelled.clear();
		},
		async stop() {
			await dispatcher.destroy();
		},
	};
};

export type ImitatedEngine = ReturnType<typeof createEngine>;
