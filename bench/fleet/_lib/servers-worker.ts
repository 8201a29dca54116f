/** Worker thread that runs the stand-in servers of one zone and returns their counts. */
import {parentPort, workerData} from 'node:worker_threads';
import {startEngineStandIn, type EngineStandIn, type EngineStandInOptions} from '../../../test/stand-ins/engine/index.js';
import {startPlainStandIn, type PlainStandIn} from '../../../test/stand-ins/plain/index.js';

export type ServerSpec =
	| {kind: 'engine'; options: EngineStandInOptions}
	| {kind: 'plain'; options: {id: string; workMs: number}};

/** Prefills that the stand-in engines counted, by the mark at the start of the prompt. */
export type JudgedPrefills = {
	started: Array<{mark: string; count: number}>;
	wasted: Array<{mark: string; cause: string}>;
	/** Event-loop utilization of the thread, 0 to 1. */
	busy: number;
};

/** URLs of the servers by id; sent once all servers listen. */
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

		// A decode engine knows only the ID of the request; a prefill engine has the prompt.
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
