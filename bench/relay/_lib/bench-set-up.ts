/** Starts and stops the threads and processes of the bench. */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {Worker} from 'node:worker_threads';
import {createEngineHttp, type EngineHttp} from '../../../src/adapters/engine-http/index.js';
import {type BareStart} from './bare-main.js';
import {type EngineWorkerData} from './engine-worker.js';
import {type EntryStart, type EntryUsage} from './entry-main.js';

export type BenchEngine = EngineWorkerData & {
	url: string;
	client: EngineHttp;
	stop: () => Promise<void>;
};

export type BenchEntry = {
	url: string;
	usage: () => Promise<EntryUsage>;
	stop: () => Promise<void>;
};

const startDeadlineMs = 20_000;

export async function startEngine(data: EngineWorkerData): Promise<BenchEngine> {
	const worker = new Worker(new URL('engine-worker.js', import.meta.url), {workerData: data});
	const [{url}] = await once(worker, 'message', {signal: AbortSignal.timeout(startDeadlineMs)}) as [{url: string}];
	const client = createEngineHttp({server: {id: data.id, url}, connections: 1000});
	return {
		...data,
		url,
		client,
		async stop() {
			await worker.terminate();
			await client.close();
		},
	};
}

function toConfigText(engines: readonly BenchEngine[]): string {
	const servers = engines.map(({id, url, role}) => `  - {id: ${id}, zone: z, url: '${url}', role: ${role}, pool: p, slots: 20000}`);
	return `
zones: [{id: z, region: r}]
hosts: [{id: z-1, zone: z}]
pools: [{name: p, model: m, version: '1', classes: [quick]}]
servers:
${servers.join('\n')}
rules:
  - {name: all, then: {pool: p, class: quick, repeatable: true, queueLimit: 10000, target: {firstToken: 10s, perToken: 1s, complete: 10m}}}
weightStoreBytesPerSecond: 300MB
end: banyanport
`;
}

async function receive<T>(child: ChildProcess): Promise<T> {
	const [message] = await once(child, 'message', {signal: AbortSignal.timeout(startDeadlineMs)}) as [T];
	return message;
}

/** Starts an entry that routes to the engines. */
export async function startBenchEntry(engines: readonly BenchEngine[]): Promise<BenchEntry> {
	const answers = await Promise.all(engines.map(async ({client}) => client.load()));
	const loads = answers.map(answer => answer._unsafeUnwrap());
	const child = fork(fileURLToPath(new URL('entry-main.js', import.meta.url)), {
		execArgv: ['--enable-source-maps', '--expose-gc'], serialization: 'advanced', stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
	});
	child.send({configText: toConfigText(engines), loads} satisfies EntryStart);
	const {callerPort} = await receive<{callerPort: number}>(child);
	return {
		url: `http://127.0.0.1:${callerPort}`,
		async usage() {
			child.send('usage');
			const {usage} = await receive<{usage: EntryUsage}>(child);
			return usage;
		},
		async stop() {
			const ended = once(child, 'exit');
			child.disconnect();
			await ended;
		},
	};
}

/** Starts the bare relay, the control that forwards without routing decisions. */
export async function startBareRelay(start: BareStart): Promise<{url: string; stop: () => Promise<void>}> {
	const child = fork(fileURLToPath(new URL('bare-main.js', import.meta.url)), {execArgv: ['--enable-source-maps'], stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	child.send(start);
	const {url} = await receive<{url: string}>(child);
	return {
		url,
		async stop() {
			const ended = once(child, 'exit');
			child.disconnect();
			await ended;
		},
	};
}
