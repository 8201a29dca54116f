/**
 * Stand-in for the platform: values with revisions that can be read and
 * watched, a read budget over all readers, and switches for its faults.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {type FleetList, type PlatformKey} from '../../../src/ports/platform.js';
import {
	readBytes, readJson, RequestFault, sendJson, startHttpServer,
} from '../_lib/http-server.js';

export type PlatformFaults = {
	/** Drops every connection. */
	down?: boolean;
	/** Serves the values that were current when the switch was set, whatever is published later. */
	frozen?: boolean;
	/** Serves the document of this revision of `config` under its old revision number. */
	oldRevision?: number;
	/** Serves the document of this revision of `config` under the newest revision number. */
	oldDocument?: number;
	/** Share of each value's text that is served, from its start. */
	truncateAt?: number;
	/** Delay before each answer, in milliseconds. */
	slowMs?: number;
	/** Answers with a body that is not JSON. */
	garbage?: boolean;
};

export type PlatformStandInOptions = {
	port?: number;
	bind?: string;
	config?: string;
	fleet?: FleetList;
	/** Read budget per second over all readers, watches included; further reads are answered with 429. */
	readsPerSecond?: number;
};

export type PlatformJudge = {
	reads: number;
	rejectedReads: number;
	/** Largest number of reads in any one second. */
	peakReadsPerSecond: number;
	/** Reads by the name that the client sends (`x-client`), or by connection if it sends none. */
	readsByClient: Record<string, number>;
	revisions: Record<string, number>;
	/** Total size of the values in answers. */
	servedBytes: number;
	/** Reads and watches within the budget, by key. */
	readsByKey: Record<string, number>;
};

export type PlatformStandIn = {
	port: number;
	url: string;
	faults: PlatformFaults;
	setFaults: (faults: PlatformFaults) => void;
	/** Publishes a value and returns its revision. */
	publish: (key: PlatformKey, value: string) => number;
	publishFleet: (fleet: FleetList) => number;
	judge: () => PlatformJudge;
	stop: () => Promise<void>;
};

type Versioned = {revision: number; value: string};

const maxWaitMs = 60_000;

const createReadCount = (budget: number) => {
	const byClient = new Map<string, number>();
	let recent: number[] = [];
	let reads = 0;
	let rejectedReads = 0;
	let peak = 0;
	return {
		/** Counts a read and returns whether it is within the budget. */
		take(client: string): boolean {
			const now = performance.now();
			recent = recent.filter(at => at > now - 1000);
			byClient.set(client, (byClient.get(client) ?? 0) + 1);
			reads += 1;
			if (recent.length >= budget) {
				rejectedReads += 1;
				return false;
			}

			recent.push(now);
			peak = Math.max(peak, recent.length);
			return true;
		},
		report: () => ({
			reads, rejectedReads, peakReadsPerSecond: peak, readsByClient: Object.fromEntries(byClient),
		}),
	};
};

const createValues = (faults: PlatformFaults) => {
	const histories = new Map<string, Versioned[]>();
	const waiters = new Set<() => void>();
	let frozen: Map<string, Versioned | undefined> | undefined;

	const newest = (key: string): Versioned | undefined => histories.get(key)?.at(-1);

	const findRevision = (key: string, revision: number): Versioned | undefined => histories.get(key)?.find(value => value.revision === revision);

	const readWithFaults = (key: string): Versioned | undefined => {
		if (frozen !== undefined) {
			return frozen.get(key);
		}

		const value = newest(key);
		if (value === undefined || key !== 'config') {
			return value;
		}

		if (faults.oldRevision !== undefined) {
			return findRevision(key, faults.oldRevision) ?? value;
		}

		if (faults.oldDocument !== undefined) {
			return {revision: value.revision, value: findRevision(key, faults.oldDocument)?.value ?? value.value};
		}

		return value;
	};

	const notifyWaiters = (): void => {
		for (const waiter of waiters) {
			waiter();
		}
	};

	return {
		waiters,
		wake: notifyWaiters,
		publish(key: string, value: string): number {
			const history = histories.get(key) ?? [];
			const revision = (history.at(-1)?.revision ?? 0) + 1;
			histories.set(key, [...history, {revision, value}]);
			notifyWaiters();
			return revision;
		},
		served(key: string): Versioned | undefined {
			const value = readWithFaults(key);
			return value === undefined || faults.truncateAt === undefined
				? value
				: {...value, value: value.value.slice(0, Math.floor(value.value.length * faults.truncateAt))};
		},
		/** Applies changed fault switches to the values served. */
		applyFaults(): void {
			frozen = faults.frozen ? (frozen ?? new Map([...histories.keys()].map(key => [key, newest(key)]))) : undefined;
			notifyWaiters();
		},
		isDown: () => faults.down === true,
		revisions: () => Object.fromEntries([...histories.keys()].map(key => [key, newest(key)?.revision ?? 0])),
	};
};

type Values = ReturnType<typeof createValues>;

type Wait = {values: Values; key: string; since: number; waitMs: number; res: ServerResponse};

/** Waits until the served revision differs, the wait time has passed or the reader has disconnected. */
const waitForChange = async ({values, key, since, waitMs, res}: Wait): Promise<void> => {
	if (values.served(key)?.revision !== since && values.served(key) !== undefined) {
		return;
	}

	await new Promise<void>(resolve => {
		const end = (): void => {
			clearTimeout(timer);
			values.waiters.delete(check);
			resolve();
		};

		const check = (): void => {
			const value = values.served(key);
			if (values.isDown() || (value !== undefined && value.revision !== since)) {
				end();
			}
		};

		const timer = setTimeout(end, Math.min(waitMs, maxWaitMs));
		values.waiters.add(check);
		res.once('close', end);
	});
};

/** Starts a platform on loopback. */
export const startPlatformStandIn = async (options: PlatformStandInOptions = {}): Promise<PlatformStandIn> => {
	const faults: PlatformFaults = {};
	const values = createValues(faults);
	const count = createReadCount(options.readsPerSecond ?? 2000);
	let servedBytes = 0;
	const readsByKey: Record<string, number> = {};
	const judge = (): PlatformJudge => ({
		...count.report(), revisions: values.revisions(), servedBytes, readsByKey: {...readsByKey},
	});

	const setFaults = (next: PlatformFaults): void => {
		for (const name of Object.keys(faults)) {
			Reflect.deleteProperty(faults, name);
		}

		Object.assign(faults, next);
		values.applyFaults();
	};

	const answerValue = (key: string, since: number | undefined, res: ServerResponse): void => {
		const value = values.served(key);
		if (faults.garbage) {
			res.writeHead(200, {'content-type': 'application/json'});
			res.end('<html>busy</html>');
		} else if (value === undefined) {
			sendJson(res, since === undefined ? 404 : 204, {error: 'never published'});
		} else if (value.revision === since) {
			res.writeHead(204);
			res.end();
		} else {
			servedBytes += Buffer.byteLength(value.value);
			sendJson(res, 200, value);
		}
	};

	const read = async (req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> => {
		if (faults.down) {
			res.destroy();
			return;
		}

		const client = req.headers['x-client'] ?? `${req.socket.remoteAddress}:${req.socket.remotePort}`;
		if (!count.take(String(client))) {
			throw new RequestFault(429, {error: 'read budget spent'});
		}

		const key = decodeURIComponent(url.pathname.split('/')[3] ?? '');
		readsByKey[key] = (readsByKey[key] ?? 0) + 1;
		const since = url.searchParams.has('since') ? Number(url.searchParams.get('since')) : undefined;
		if (since !== undefined) {
			await waitForChange({
				values, key, since, waitMs: Number(url.searchParams.get('wait_ms') ?? 0), res,
			});
		}

		if (faults.slowMs !== undefined) {
			await sleep(faults.slowMs);
		}

		if (faults.down) {
			res.destroy();
			return;
		}

		answerValue(key, since, res);
	};

	const route = async (req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> => {
		const call = `${req.method} ${url.pathname}`;
		if (call.startsWith('GET /v1/values/')) {
			await read(req, res, url);
		} else if (call === 'GET /judge') {
			sendJson(res, 200, judge());
		} else if (call === 'POST /judge/faults') {
			setFaults(await readJson(req));
			sendJson(res, 200, faults);
		} else if (call.startsWith('POST /judge/values/')) {
			const bytes = await readBytes(req);
			const key = decodeURIComponent(url.pathname.split('/')[3] ?? '');
			sendJson(res, 200, {revision: values.publish(key, bytes.toString('utf8'))});
		} else {
			throw new RequestFault(404, {error: `no such call: ${call}`});
		}
	};

	if (options.config !== undefined) {
		values.publish('config', options.config);
	}

	if (options.fleet !== undefined) {
		values.publish('fleet', JSON.stringify(options.fleet));
	}

	const server = await startHttpServer(route, options.port, options.bind);
	return {
		port: server.port,
		url: server.url,
		faults,
		setFaults,
		publish: values.publish,
		publishFleet: fleet => values.publish('fleet', JSON.stringify(fleet)),
		judge,
		stop: server.stop,
	};
};
