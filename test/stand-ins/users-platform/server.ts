/** Stand-in for a backend server of the users, according to their documentation: plain, or with separate prefill and decode. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	applyServerFault, isStreamFault, type ServerFault, type StreamFault,
} from './apply-server-fault.js';
import {createAnswerRepeater, type AnswerRepeater} from './create-answer-repeater.js';
import {endServer, type ServerEnd} from './end-server.js';
import {isControl, toServerStep, type ServerStep} from './to-server-step.js';

/** Time for which a paused stream sends nothing, as after a preemption. */
export const pausedStreamMs = 3000;

/** One request that reached the server, or one call that manages its reservations, caches or orders. */
export type Arrival = {
	step: ServerStep;
	method: string;
	target: string;
	headers: IncomingMessage['headers'];
	body: string;
	/** Monotonic time of its arrival, milliseconds. */
	arrivedAt: number;
	/** Whether the connection ended before the answer was complete. */
	isLeft: boolean;
	/** Whether the server ran the request, and answered as a server without faults does. */
	isRun: boolean;
};

export type ServerStandIn = {
	/** Id of the server; changes with each restart. */
	id: string;
	address: string;
	arrivals: Arrival[];
	/** Requests that the server ran. */
	runs: () => Arrival[];
	/** Adds faults for the next requests, one fault per request. Calls that manage reservations, caches or orders are not affected. */
	addFaults: (...misdeeds: ServerFault[]) => void;
	/** Removes the faults that no request has met yet. */
	clearFaults: () => void;
	/** Delays the answers to later prefills until the promise has settled. */
	delayPrefillsUntil: (until: Promise<unknown>) => void;
	/** Delays the answers to later reservations until the promise has settled. */
	delayReservationsUntil: (until: Promise<unknown>) => void;
	/** Sets the number of tokens free for reservations; unlimited by default. */
	setFreeTokens: (tokens: number) => void;
	/** Refuses all calls except releases, with this back-off in seconds; `undefined` ends the refusals. */
	setBackoffSeconds: (seconds: number | undefined) => void;
	/** Sets the limit that answers state in requests a second, as written; `undefined` states none. */
	setRequestLimit: (limit: string | undefined) => void;
	/** Sets whether answers announce that the server is leaving. */
	setLeaving: (isLeaving: boolean) => void;
	/** Sets whether an order is in progress, during which the server refuses others. */
	setBusy: (isBusy: boolean) => void;
	/** Sets which answers the server sends once more, before the next one on the connection. */
	repeatAnswers: AnswerRepeater['repeat'];
	/** Number of answers sent once more. */
	repeatedAnswers: () => number;
	/** Number of reservations neither used nor released. */
	reservations: () => number;
	/** Ends the server when it begins to run a matching request, by default by closing all connections; it restarts at once under another id. */
	crashOn: (isCrashing: (arrival: Arrival) => boolean, end?: ServerEnd) => void;
	/** Number of crashes. */
	crashes: () => number;
	close: () => Promise<void>;
};

export type ServerStandInOptions = {
	id: string;
	/** Duration of a run in milliseconds. */
	workMs?: number;
	/** Duration of a call that manages reservations, caches or orders, in milliseconds; 0 by default. */
	controlMs?: number;
	/** Number of events in a stream. */
	events?: number;
	/** Version of the server's software, which each of its events names. */
	version?: string;
	/** Faults shared by several servers; each is applied by the server that receives the next request. */
	sharedFaults?: ServerFault[];
	/** KV caches of all servers that were neither fetched nor dropped, as `IP:port/handle`. */
	caches?: Set<string>;
};

async function readBody(req: IncomingMessage): Promise<string> {
	const parts: Buffer[] = [];
	for await (const part of req) {
		parts.push(part as Buffer);
	}

	return Buffer.concat(parts).toString('utf8');
}

/** Servers set no limit on heads of their own; callers stay within that of the configuration. */
const maxHeadBytes = 1_048_576;

/**
 * Starts a server on loopback.
 *
 * @param options - Id of the server, duration of its work and its faults.
 * @returns The running server.
 */
export async function startServerStandIn(options: ServerStandInOptions): Promise<ServerStandIn> {
	const {
		id, workMs = 5, controlMs = 0, events = 3, version, caches = new Set(), sharedFaults = [],
	} = options;
	const versionText = version === undefined ? '' : ` at ${version}`;
	const arrivals: Arrival[] = [];
	const reservations = new Map<string, number>();
	let freeTokens = Infinity;
	let isBusy = false;
	let isLeaving = false;
	let requestLimit: string | undefined;
	let pauseSeconds: number | undefined;
	let promptsHeld: Promise<unknown> = Promise.resolve();
	let reservationsHeld: Promise<unknown> = Promise.resolve();
	let createdCount = 0;
	let isCrashing: (arrival: Arrival) => boolean = () => false;
	let crashEnd: ServerEnd = 'closes';
	let crashes = 0;
	const open = new Set<ServerResponse>();
	const repeater = createAnswerRepeater();
	/** Earlier starts that went dark. */
	const darkIds = new Set<string>();

	const toNoticeHeaders = () => ({...(isLeaving && {'server-leaving': '1'}), ...(requestLimit !== undefined && {'server-limit': requestLimit})});

	/** Answers in JSON, and names the request if the call did. */
	const answer = (res: ServerResponse, status: number, body: unknown, headers: Record<string, string | undefined> = {}) => {
		const {'request-id': named} = res.req.headers;
		const all = {
			'content-type': 'application/json', 'request-id': named?.toString(), ...toNoticeHeaders(), ...headers,
		};
		const sent = {status, headers: Object.fromEntries(Object.entries(all).flatMap(([name, value]) => value === undefined ? [] : [[name, value]])), body: JSON.stringify(body)};
		res.writeHead(status, sent.headers);
		res.end(sent.body);
		repeater.note(res.req, toServerStep(res.req), sent);
	};

	const ownHeaders = (req: IncomingMessage) => ({'request-id': String(req.headers['request-id']), 'server-seal': `seal-of-${id}`});

	async function stream(req: IncomingMessage, res: ServerResponse, fault: StreamFault | undefined): Promise<void> {
		if (fault === 'unframed-stream' || fault === 'cut-unframed-stream') {
			res.useChunkedEncodingByDefault = false;
			res.shouldKeepAlive = false;
		}

		const sent = {status: 200, headers: {'content-type': 'text/event-stream', ...toNoticeHeaders(), ...ownHeaders(req)}, body: ''};
		res.writeHead(sent.status, sent.headers);
		for (let event = Number(req.headers['last-event-id'] ?? 0) + 1; event <= events; event++) {
			if (event === events && fault === 'cut-stream') {
				res.write(`id: ${event}\ndata: pie`, () => {
					res.destroy();
				});
				return;
			}

			if (event === events && fault === 'paused-stream') {
				res.flushHeaders();
				await sleep(pausedStreamMs);
			}

			if (event === events && fault === 'cut-unframed-stream') {
				res.end(`id: ${event}\ndata: pie`);
				return;
			}

			const piece = `id: ${event}\ndata: piece ${event} of ${String(req.headers['request-id'])}${versionText}\n\n`;
			sent.body += piece;
			res.write(piece);
			await sleep(workMs);
		}

		res.end();
		repeater.note(req, toServerStep(req), sent);
	}

	function reserve(body: string, res: ServerResponse): void {
		const {tokens} = JSON.parse(body) as {tokens: number};
		if (tokens > freeTokens) {
			answer(res, 503, {error: 'full'}, {'not-executed': '1'});
			return;
		}

		const name = `hold-${++createdCount}`;
		reservations.set(name, tokens);
		freeTokens -= tokens;
		answer(res, 200, {hold: name});
	}

	function release(name: string): void {
		freeTokens += reservations.get(name) ?? 0;
		reservations.delete(name);
	}

	/** Leaves all calls of this start without an answer. */
	function goDark(): void {
		darkIds.add(standIn.id);
		for (const res of open) {
			res.detachSocket(res.socket!);
		}

		open.clear();
	}

	function crash(): void {
		if (crashEnd === 'goes dark') {
			goDark();
		}

		crashes++;
		standIn.id = `${id}-start-${crashes + 1}`;
		reservations.clear();
		if (crashEnd === 'closes' || crashEnd === 'lingers once-left') {
			server.closeAllConnections();
		}
	}

	/** Refuses a call that is meant for another start of the server, or for which it has no room. */
	function isRefused({headers}: IncomingMessage, res: ServerResponse, step: ServerStep): boolean {
		const expected = headers['expect-instance'];
		if (expected !== undefined && expected !== standIn.id) {
			if (darkIds.has(String(expected))) {
				return true;
			}

			answer(res, 421, {error: 'another'}, {'instance-id': standIn.id});
			return true;
		}

		if (pauseSeconds === undefined || step === 'release' || step === 'drop-cache') {
			return false;
		}

		answer(res, 503, {error: 'busy'}, {'not-executed': '1', 'retry-after': String(pauseSeconds)});
		return true;
	}

	async function serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const step = toServerStep(req);
		const arrival: Arrival = {
			step, method: req.method ?? '', target: req.url ?? '', headers: req.headers, body: '', arrivedAt: performance.now(), isLeft: false, isRun: false,
		};
		arrivals.push(arrival);
		repeater.sendDue(req);
		res.once('close', () => {
			arrival.isLeft = !res.writableFinished;
		});
		arrival.body = await readBody(req);
		const name = arrival.target.slice(arrival.target.lastIndexOf('/') + 1);
		if (isRefused(req, res, step)) {
			return;
		}

		if (isControl(step) && controlMs > 0) {
			await sleep(controlMs);
		}

		if (step === 'reserve') {
			await reservationsHeld;
			reserve(arrival.body, res);
			return;
		}

		if (step === 'order') {
			answer(res, isBusy ? 409 : 202, {});
			return;
		}

		if (step === 'release' || step === 'drop-cache') {
			release(name);
			caches.delete(`${address}/${name}`);
			answer(res, 200, {});
			return;
		}

		if (step !== 'prefill' && isCrashing(arrival)) {
			endServer(crashEnd, {req, res, crash});
			return;
		}

		const misdeed = sharedFaults.shift();
		const streamFault = isStreamFault(misdeed) ? misdeed : undefined;
		if (misdeed !== undefined && !isStreamFault(misdeed)) {
			applyServerFault(misdeed, {
				req, res, answer, ownHeaders: ownHeaders(req),
			});
			return;
		}

		await sleep(workMs);
		if (step === 'prefill') {
			await promptsHeld;
			const handle = `cache-${++createdCount}`;
			caches.add(`${address}/${handle}`);
			answer(res, 200, {kv_handle: handle, tokens: 10, version: 1});
			return;
		}

		if (step === 'decode') {
			release(String(req.headers['kv-hold']));
			const source = req.headers['kv-source'];
			if (source !== undefined && !caches.delete(String(source))) {
				answer(res, 503, {error: 'no such cache'}, {'not-executed': '1'});
				return;
			}

			arrival.isRun = true;
			await stream(req, res, streamFault);
			return;
		}

		arrival.isRun = true;
		if (req.headers.accept === 'text/event-stream') {
			await stream(req, res, streamFault);
			return;
		}

		answer(res, 200, {server: id, body: arrival.body}, ownHeaders(req));
	}

	const server = createServer({maxHeaderSize: maxHeadBytes}, (req, res) => {
		open.add(res);
		res.once('close', () => {
			open.delete(res);
		});
		void serve(req, res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const standIn: ServerStandIn = {
		id,
		address,
		arrivals,
		runs: () => arrivals.filter(({step}) => step === 'whole' || step === 'decode'),
		addFaults(...next) {
			sharedFaults.push(...next);
		},
		clearFaults() {
			sharedFaults.length = 0;
		},
		delayPrefillsUntil(until) {
			promptsHeld = until;
		},
		delayReservationsUntil(until) {
			reservationsHeld = until;
		},
		setFreeTokens(tokens) {
			freeTokens = tokens;
		},
		setBackoffSeconds(seconds) {
			pauseSeconds = seconds;
		},
		setRequestLimit(limit) {
			requestLimit = limit;
		},
		setLeaving(next) {
			isLeaving = next;
		},
		setBusy(next) {
			isBusy = next;
		},
		repeatAnswers: repeater.repeat,
		repeatedAnswers: repeater.count,
		reservations: () => reservations.size,
		crashOn(next, end = 'closes') {
			isCrashing = next;
			crashEnd = end;
		},
		crashes: () => crashes,
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
	return standIn;
}
