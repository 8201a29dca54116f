/**
 * Polls the load of servers, with one task for each server, so that a server
 * that hangs does not delay the others.
 */
import {waitFor} from '../../../_lib/wait-for/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type Engine, type LoadReport} from '../../../ports/engine.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';

const minTimeoutMs = 1000;
const taskRefreshMs = 500;

export type PollOptions = {
	/** Servers to poll now; called twice a second. */
	servers: () => readonly ServerEntry[];
	toEngine: (server: ServerEntry) => Engine;
	intervalMs: Milliseconds;
	onLoad: (load: LoadReport, askedAt: Milliseconds) => void;
	/** Called when two polls in a row failed, with the time at which the first was sent. */
	onUnreachable: (server: ServerId, askedAt: Milliseconds) => void;
	/** Called when a server is no longer to be polled. */
	onEnd: (server: ServerId) => void;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

/**
 * Creates the load call of one task, with a timeout. Most calls are answered in
 * time, so one controller is used for all calls until it has aborted one. A
 * combined signal for each call would leak memory: on Node 20, `AbortSignal.any`
 * keeps every combined signal alive as long as its sources, and a task polls for
 * weeks.
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
			// If this process was blocked, the timer and the answer are due at the same time. Sockets are read before `setImmediate` callbacks run, so the answer wins.
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

/**
 * Polls until the signal aborts. Starts a task for each server of
 * {@link PollOptions.servers} and ends it when the server is no longer listed.
 *
 * @param options - See {@link PollOptions}.
 */
export async function pollLoads(options: PollOptions): Promise<void> {
	const {servers, toEngine, intervalMs, now, random, signal} = options;
	const tasks = new Map<ServerId, {url: string; stop: AbortController}>();
	let waiting: Array<() => void> = [];

	/** Waits for the next round. All polls of this host are sent together, so that the process wakes up once for all of them. */
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
				// One failed poll proves nothing: the recovery of a network partition resets connections, and a busy machine
				// answers late. All hosts would then avoid the server until its next poll. A server that is down fails the
				// second poll too.
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
