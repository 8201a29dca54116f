/** Stand-in for the users' store, according to their documentation: keys with revisions that are read in pages and watched from a revision. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';

type Item = {
	key: string;
	value: string;
	revision: number;
	create_rev: number;
	lease: number;
};
type Change = Item | {key: string; revision: number; removed: true};
type PendingWatch = {res: ServerResponse; after: number; prefix: string; timer: NodeJS.Timeout};

export type StoreStandIn = {
	/** `IP:port`. */
	address: string;
	put: (key: string, value: unknown) => void;
	remove: (key: string) => void;
	/** Drops the history: watches from an earlier revision are answered with 410. */
	dropHistory: () => void;
	/** Sets how reads are answered from now on. */
	setMode: (mood: 'well' | 'refusing' | 'silent') => void;
	/** Copies the current contents, to be restored later. */
	copy: () => StoreCopy;
	/** Restores a copy and loses everything written since: revisions go back, and the era increases. */
	restore: (copy: StoreCopy) => void;
	/** Closes the connections of all pending watches. */
	cutWatches: () => void;
	reads: () => number;
	close: () => Promise<void>;
};

/** Contents of the store at one moment. */
export type StoreCopy = {items: ReadonlyMap<string, Item>; changes: readonly Change[]; revision: number};

/** Items per page; small, so that a few keys already need several pages. */
const pageSize = 3;

/**
 * Starts a store on loopback.
 *
 * @returns The running store.
 */
export async function startStoreStandIn(): Promise<StoreStandIn> {
	let items = new Map<string, Item>();
	let era = 1;
	let changes: Change[] = [];
	let revision = 0;
	let forgottenRevision = 0;
	let reads = 0;
	let mood: Parameters<StoreStandIn['setMode']>[0] = 'well';
	let waiting: PendingWatch[] = [];

	const sendJson = (res: ServerResponse, status: number, body: unknown) => {
		res.writeHead(status, {'content-type': 'application/json', 'store-era': String(era)});
		res.end(JSON.stringify(body));
	};

	const findEvents = ({after, prefix}: Pick<PendingWatch, 'after' | 'prefix'>) => changes.filter(change => change.revision > after && change.key.startsWith(prefix));

	const answerWatches = () => {
		waiting = waiting.filter(watch => {
			const events = findEvents(watch);
			if (events.length === 0) {
				return true;
			}

			clearTimeout(watch.timer);
			sendJson(watch.res, 200, {events, current_rev: revision});
			return false;
		});
	};

	const add = (change: Change) => {
		changes.push(change);
		answerWatches();
	};

	const server = createServer((req, res) => {
		reads++;
		if (mood === 'silent') {
			return;
		}

		if (mood === 'refusing') {
			sendJson(res, 503, {error: 'down'});
			return;
		}

		const url = new URL(req.url ?? '/', 'http://store');
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		if (url.pathname === '/-/kv-range') {
			const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).toSorted((a, b) => a.key < b.key ? -1 : 1);
			sendJson(res, 200, {items: found.slice(0, pageSize), truncated: found.length > pageSize, current_rev: revision});
			return;
		}

		const watch = {res, prefix, after: Number(after)};
		if (watch.after < forgottenRevision || watch.after > revision) {
			sendJson(res, 410, {error: 'gone'});
			return;
		}

		const timer = setTimeout(() => {
			waiting = waiting.filter(other => other.res !== res);
			sendJson(res, 200, {events: [], current_rev: revision});
		}, Number(url.searchParams.get('wait_ms')));
		waiting.push({...watch, timer});
		answerWatches();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');

	const cutWatches = () => {
		for (const {res, timer} of waiting) {
			clearTimeout(timer);
			res.destroy();
		}

		waiting = [];
	};

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		put(key, value) {
			revision++;
			const item = {
				key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision, create_rev: items.get(key)?.create_rev ?? revision, lease: 0,
			};
			items.set(key, item);
			add(item);
		},
		remove(key) {
			revision++;
			items.delete(key);
			add({key, revision, removed: true});
		},
		dropHistory() {
			forgottenRevision = revision;
			changes = [];
		},
		copy: () => ({items: new Map(items), changes: [...changes], revision}),
		restore(copy) {
			cutWatches();
			items = new Map(copy.items);
			changes = [...copy.changes];
			({revision} = copy);
			forgottenRevision = Math.min(forgottenRevision, revision);
			era++;
		},
		setMode(next) {
			mood = next;
		},
		cutWatches,
		reads: () => reads,
		async close() {
			cutWatches();
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
}
