/** Starts one entry in the process of the test, with one prefill and two decode stand-ins and one or more plain services as its servers. */
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {createEngineHttp} from '../../../src/adapters/engine-http/index.js';
import {createLog} from '../../../src/adapters/log/index.js';
import {createMetrics} from '../../../src/adapters/metrics/index.js';
import {parseConfig} from '../../../src/domain/parse-config/index.js';
import {type FleetView, type ServerStatus} from '../../../src/ports/view.js';
import {parseSettings} from '../../../src/adapters/settings/index.js';
import {type Entry} from '../../../src/programs/entry/start-entry/index.js';
import {startFleetEntry} from '../../../src/programs/entry/start-fleet-entry/index.js';
import {entrySettings, type EntrySettings} from '../../../src/programs/_settings/index.js';
import {startEngineStandIn, type EngineStandIn, type EngineStandInOptions} from '../../stand-ins/engine/index.js';
import {createCollectedLines, type CollectedLines} from '../../_lib/create-collected-lines/index.js';
import {waitUntil} from '../../_lib/wait-until/index.js';
import {startPlainStandIn, type PlainStandIn} from '../../stand-ins/plain/index.js';

export type CallerFixture = {
	entry: Entry;
	url: string;
	port: number;
	prefill: EngineStandIn;
	decodes: readonly EngineStandIn[];
	plain: PlainStandIn;
	/** All plain services; {@link CallerFixture.plain} is the first. */
	plains: readonly PlainStandIn[];
	/** Returns the log lines of the entry so far. */
	logs: CollectedLines['lines'];
	stop: () => Promise<void>;
};

export type CallerFixtureOptions = {
	settings?: Partial<EntrySettings>;
	decode?: Partial<EngineStandInOptions>;
	prefill?: Partial<EngineStandInOptions>;
	/** Number of plain services; one by default. */
	plains?: number;
	/** Extra lines of the configuration, for example `callerTokens`. */
	configLines?: string;
	/** Whether the entry gets a configuration at all. */
	hasConfig?: boolean;
	/** Random numbers for the entry, in [0, 1). */
	random?: () => number;
};

const toConfigText = (servers: string, extra: string): string => `
zones: [{id: z, region: r}]
hosts: [{id: z-1, zone: z}]
pools:
  - {name: letters, model: summary, version: '1', classes: [quick, batch]}
  - {name: desk, kind: plain, classes: [quick, batch]}
servers:
${servers}
rules:
  - {name: scenes, when: {headers: {x-kind: scene}}, then: {pool: letters, class: batch, repeatable: false, target: {firstToken: 10s, perToken: 61ms, complete: 20s}}}
  - {name: hurried, when: {headers: {x-kind: hurried}}, then: {pool: letters, class: quick, repeatable: true, target: {firstToken: 700ms, perToken: 61ms, complete: 700ms}}}
  - {name: patient, when: {headers: {x-kind: patient}}, then: {pool: letters, class: quick, repeatable: true, target: {firstToken: 2s, perToken: 61ms, complete: 20s}}}
  - {name: summaries, when: {model: summary}, then: {pool: letters, class: quick, repeatable: true, target: {firstToken: 10s, perToken: 61ms, complete: 20s}}}
  - {name: orders, when: {path: /orders/}, then: {pool: desk, class: quick, repeatable: false, target: {firstToken: 2s, complete: 5s}}}
  - {name: rest, then: {pool: desk, class: quick, repeatable: true, target: {firstToken: 2s, complete: 5s}}}
weightStoreBytesPerSecond: 300MB
${extra}
end: banyanport
`;

async function toStatus(engine: EngineStandIn): Promise<ServerStatus> {
	const client = createEngineHttp({server: engine});
	const load = await client.load();
	await client.close();
	return {
		id: engine.id, leaving: false, load: load._unsafeUnwrap(), loadAt: performance.now(), reachable: true,
	};
}

async function toView(engines: readonly EngineStandIn[], plains: readonly PlainStandIn[], configLines: string): Promise<FleetView> {
	const lines = engines.map((engine, i) => `  - {id: ${engine.id}, zone: z, url: '${engine.url}', role: ${i === 0 ? 'prefill' : 'decode'}, pool: letters, slots: 20}`);
	lines.push(...plains.map(plain => `  - {id: ${plain.id}, zone: z, url: '${plain.url}', role: plain, pool: desk, slots: 20}`));
	const text = toConfigText(lines.join('\n'), configLines);
	const config = parseConfig(text)._unsafeUnwrap();
	const statuses = await Promise.all(engines.map(async engine => toStatus(engine)));
	return {
		accepted: {version: {edition: 1, revision: 1, digest: 'd'}, config, text},
		hosts: new Map([['z-1', {
			id: 'z-1', zone: 'z', life: 'alive', incarnation: 1, entryAddress: '', agentAddress: '', leaving: false,
		}]]),
		servers: new Map(statuses.map(status => [status.id, status])),
		platformConfirmedAt: performance.now(),
		receivedAt: performance.now(),
	};
}

const toSettings = (settings: Partial<EntrySettings>): EntrySettings => ({
	...parseSettings(entrySettings, {argv: ['--host-id', 'z-1', '--zone', 'z', '--agent-address', '127.0.0.1:1'], env: {}})._unsafeUnwrap().values,
	callerPort: 0,
	peerPort: 0,
	operatorPort: 0,
	drainDelay: 0,
	...settings,
});

/** Starts the entry and its backend servers on loopback. There is no agent: the entry gets one fixed view. */
export async function startCallerFixture(options: CallerFixtureOptions = {}): Promise<CallerFixture> {
	const shared = {model: 'summary', version: '1', loadLagMs: 0};
	const fast = {...shared, decodeTokensPerSecond: 500, stepMs: 4};
	const prefill = await startEngineStandIn({
		id: 'p1', role: 'prefill', ...shared, prefillBaseMs: 5, ...options.prefill,
	});
	const decodes = await Promise.all(['d1', 'd2'].map(async id => startEngineStandIn({
		id, role: 'decode', ...fast, ...options.decode,
	})));
	const plains = await Promise.all(Array.from({length: options.plains ?? 1}, async (_, i) => startPlainStandIn({id: `w${i + 1}`})));
	const view = options.hasConfig === false ? undefined : await toView([prefill, ...decodes], plains, options.configLines ?? '');
	const collected = createCollectedLines();
	const settings = toSettings(options.settings ?? {});
	const entry = await startFleetEntry({
		settings,
		clock: {wallNow: () => Date.now(), now: () => performance.now()},
		random: options.random ?? Math.random,
		log: createLog({
			level: 'info',
			program: 'banyanport-entry',
			host: 'z-1',
			zone: 'z',
			incarnation: 1,
			sink: collected.sink,
		}),
		metrics: createMetrics(),
		// An entry vouches for no key older than its own start plus this bound. Caller and entry share one clock here.
		clockBoundMs: 0,
		createEngine: server => createEngineHttp({server}),
		connectView({onView}) {
			if (view !== undefined) {
				setImmediate(onView, view);
			}

			return {
				view: () => view!, isConnected: () => true, reportLeaving: () => undefined, reportStopping: () => undefined, close: async () => undefined,
			};
		},
	});
	const startedAt = Date.now();
	// The entry does not vouch for keys created up to the millisecond of its start, so the first call is made after that.
	await waitUntil(() => Date.now() > startedAt, {deadlineMs: 10_000, what: 'the first millisecond whose keys the entry vouches for', everyMs: 1});
	return {
		entry,
		url: `http://127.0.0.1:${entry.callerPort}`,
		port: entry.callerPort,
		prefill,
		decodes,
		plain: plains[0]!,
		plains,
		logs: collected.lines,
		async stop() {
			await entry.stop();
			await Promise.all([prefill, ...decodes, ...plains].map(async server => server.stop()));
		},
	};
}

export type Answer = {
	status: number;
	headers: Readonly<Record<string, string | string[] | undefined>>;
	text: string;
	/** Whether the connection ended before the answer was complete by its HTTP framing. */
	wasCut: boolean;
};

export type SendOptions = {
	method?: string;
	headers?: Record<string, string>;
	body?: string;
	/** Called with each piece of the body; `abort` destroys the request. */
	onPiece?: (piece: string, abort: () => void) => void;
	/** Called once the request is sent; `abort` destroys it. */
	onOpen?: (abort: () => void) => void;
};

/** Sends one request and collects the answer, also if the connection is cut. */
export async function send(fixture: Pick<CallerFixture, 'port'>, path: string, options: SendOptions = {}): Promise<Answer> {
	const {method = 'POST', headers = {}, body} = options;
	return new Promise((resolve, reject) => {
		const req = request({
			host: '127.0.0.1', port: fixture.port, path, method, headers: {'content-type': 'application/json', ...headers}, agent: false,
		}, res => {
			let text = '';
			res.setEncoding('utf8');
			res.on('data', (piece: string) => {
				text += piece;
				options.onPiece?.(piece, () => req.destroy());
			});
			res.once('error', () => undefined);
			res.once('close', () => {
				resolve({
					status: res.statusCode ?? 0, headers: res.headers, text, wasCut: !res.complete,
				});
			});
		});
		req.once('error', reject);
		req.end(body);
		options.onOpen?.(() => req.destroy());
	});
}

/** Sends a request that the caller can abort; `leave` aborts it and resolves once the request has settled. */
export function sendAndLeave(fixture: Pick<CallerFixture, 'port'>, path: string, options: SendOptions): {leave: () => Promise<void>} {
	let abort: (() => void) | undefined;
	const pending = send(fixture, path, {
		...options,
		onOpen(next) {
			abort = next;
		},
	});
	return {
		async leave() {
			abort!();
			await Promise.allSettled([pending]);
		},
	};
}

/** Joins the text of all events of a streamed completion. */
export function toStreamedText(text: string): string {
	return text.split('\n\n')
		.filter(event => event.startsWith('data: {'))
		.map(event => JSON.parse(event.slice('data: '.length)) as {choices?: Array<{text?: string}>})
		.map(data => data.choices?.[0]?.text ?? '')
		.join('');
}

export const toBody = (fields: Record<string, unknown> = {}): string => JSON.stringify({
	model: 'summary', prompt: 'Dear sir, your letter of May', max_tokens: 20, ...fields,
});
