/** The stand-ins of one part of a fleet, in a thread of their own, with what their judges counted. */
import {parentPort, workerData} from 'node:worker_threads';
import {startEngineStandIn, type EngineStandIn, type EngineStandInOptions} from '../../../test/stand-ins/engine/index.js';
import {startPlainStandIn, type PlainStandIn} from '../../../test/stand-ins/plain/index.js';

export type ServerSpec =
	| {kind: 'engine'; options: EngineStandInOptions}
	| {kind: 'plain'; options: {id: string; workMs: number}};

/** What the judges counted of one request of the bench, by the mark at its prompt's start. */
export type JudgedPrefills = {
	started: Array<{mark: string; count: number}>;
	wasted: Array<{mark: string; cause: string}>;
	/** Time that the thread's event loop was busy, share. */
	busy: number;
};

/** URLs of the servers by id, told once all listen. */
export type ServersListening = Record<string, string>;

export type ServersCall = {id: number; call: 'judge' | 'crash' | 'stop'; servers?: readonly string[]};

const toMark = (prompt: string | undefined): string => prompt?.split(' ', 1)[0] ?? '';

const specs = workerData as ServerSpec[];
const engines: EngineStandIn[] = [];
const plains = new Map<string, PlainStandIn>();
for (const spec of specs) {
	if (spec.kind === 'engine') {
		engines.push(await startEngineStandIn(spec.options));
	} else {
		plains.set(spec.options.id, await startPlainStandIn(spec.options));
	}
}

let loop = performance.eventLoopUtilization();

function judge(): JudgedPrefills {
	const started: JudgedPrefills['started'] = [];
	const wasted: JudgedPrefills['wasted'] = [];
	for (const engine of engines) {
		const {requests, wastedRequests, prompts} = engine.judge();
		for (const [requestId, {prefillsStarted}] of Object.entries(requests)) {
			if (prefillsStarted > 0) {
				started.push({mark: toMark(prompts[requestId]), count: prefillsStarted});
			}
		}

		// A decode engine knows the request's id alone; its prompt stands with a prefill engine.
		wasted.push(...wastedRequests.map(({requestId, cause}) => ({mark: prompts[requestId] === undefined ? requestId : toMark(prompts[requestId]), cause})));
		engine.resetJudge();
	}

	const since = performance.eventLoopUtilization(loop);
	loop = performance.eventLoopUtilization();
	return {started, wasted, busy: since.utilization};
}

async function crash(servers: readonly string[]): Promise<void> {
	await Promise.all(engines.filter(({id}) => servers.includes(id)).map(async engine => engine.crash()));
	await Promise.all([...plains].filter(([id]) => servers.includes(id)).map(async ([, plain]) => plain.stop()));
}

async function stop(): Promise<void> {
	await Promise.all(engines.map(async engine => engine.stop()));
}

const port = parentPort!;
port.on('message', async ({id, call, servers = []}: ServersCall) => {
	const work = {judge, crash: async () => crash(servers), stop} satisfies Record<ServersCall['call'], () => unknown>;
	port.postMessage({id, result: await work[call]()});
});
port.postMessage(Object.fromEntries([...engines, ...[...plains].map(([id, {url}]) => ({id, url}))].map(({id, url}) => [id, url])) satisfies ServersListening);
