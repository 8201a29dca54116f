/**
 * Polls the load of servers: one task a server, so that a server that hangs
 * holds up no other.
 */
import {waitFor} from '../../../_lib/wait-for/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type Engine, type LoadReport} from '../../../ports/engine.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';

const minTimeoutMs = 1000;
const taskRefreshMs = 500;

export type PollOptions = {
	/** Servers to poll now; asked again before each poll. */
	servers: () => readonly ServerEntry[];
	toEngine: (server: ServerEntry) => Engine;
	intervalMs: Milliseconds;
	onLoad: (load: LoadReport, askedAt: Milliseconds) => void;
	/** Two polls in a row failed; the first was asked at that time. */
	onUnreachable: (server: ServerId, askedAt: Milliseconds) => void;
	/** The server is no longer among those to poll. */
	onEnd: (server: ServerId) => void;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

/**
 * Bounds the calls of one task in time. Most calls are answered in time, so one
 * controller serves until it has aborted a call. `AbortSignal.any` on Node 20
 * keeps every combined signal alive as long as its sources; a task polls for weeks.
 */
function createLoadCaller(engine: Engine, timeoutMs: Milliseconds, stop: AbortSignal) {
	let call = new AbortController();
	const abort = () => {
		call.abort();
	};

	stop.addEventListener('abort', abort, {once: true});
	return async () => {
		let isOver = false;
		const timer = setTimeout(() => {
			// A process that was held up finds the time-out and the answer together: sockets are read before this runs.
			setImmediate(() => {
				if (!isOver) {
					abort();
				}
			});
		}, timeoutMs);
		const load = await engine.load({signal: call.signal});
		isOver = true;
		clearTimeout(timer);
		if (call.signal.aborted && !stop.aborted) {
			call = new AbortController();
		}

		return load;
	};
}

/** Runs until the signal aborts; starts a task for each server it is given and ends it when the server is no longer among them. */
export async function pollLoads(options: PollOptions): Promise<void> {
	const {servers, toEngine, intervalMs, now, random, signal} = options;
	const tasks = new Map<ServerId, {url: string; stop: AbortController}>();
	let waiting: Array<() => void> = [];

	/** All polls of this host go out together: the process wakes once for them, and not once for each. */
	async function waitForRound() {
		return new Promise<void>(resolve => {
			waiting.push(resolve);
		});
	}

	function startRound() {
		const due = waiting;
		waiting = [];
		for (const go of due) {
			go();
		}
	}

	async function runRounds() {
		await waitFor(intervalMs * random(), signal);
		while (!signal.aborted) {
			startRound();
			await waitFor(intervalMs * (0.9 + (random() / 5)), signal);
		}
	}

	async function poll(server: ServerEntry, stop: AbortSignal) {
		const readLoad = createLoadCaller(toEngine(server), Math.max(intervalMs, minTimeoutMs), stop);
		await waitForRound();
		while (!stop.aborted) {
			const startedAt = now();
			let askedAt = startedAt;
			let load = await readLoad();
			if (load.isErr() && !stop.aborted) {
				// One lost poll is no proof: a cut that heals resets it, a busy machine answers late. All hosts would pass
				// the server over for it until the next poll. A server that is gone fails the second one too.
				askedAt = now();
				load = await readLoad();
			}

			if (stop.aborted) {
				return;
			}

			if (load.isOk()) {
				options.onLoad(load.value, askedAt);
			} else {
				options.onUnreachable(server.id, startedAt);
			}

			await waitForRound();
		}
	}

	const rounds = runRounds();
	while (!signal.aborted) {
		const wanted = new Map(servers().map(server => [server.id, server]));
		for (const [id, {url, stop}] of tasks) {
			if (wanted.get(id)?.url !== url) {
				stop.abort();
				tasks.delete(id);
				options.onEnd(id);
			}
		}

		for (const [id, server] of wanted) {
			if (!tasks.has(id)) {
				const stop = new AbortController();
				tasks.set(id, {url: server.url, stop});
				void poll(server, stop.signal);
			}
		}

		await waitFor(taskRefreshMs, signal);
	}

	for (const {stop} of tasks.values()) {
		stop.abort();
	}

	startRound();
	await rounds;
}
