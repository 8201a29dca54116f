/**
 * Stand-in for a plain HTTP service. Each call counts one piece of work for its
 * idempotency key and echoes the body. Fault switches make calls fail before or
 * after the work.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readBytes, sendJson, startHttpServer} from '../_lib/http-server.js';

export type PlainFaults = {
	/** Drops the connection: `before` the work, `after` the work, or `midway` through the answer. */
	drop?: 'before' | 'after' | 'midway';
	/** Answers with this status without doing the work. */
	status?: number;
	/** Number of calls that the switches affect; absent means all. */
	times?: number;
	/** Duration of the work in milliseconds. */
	workMs?: number;
};

export type PlainStandInOptions = {
	id?: string;
	port?: number;
	bind?: string;
	workMs?: number;
};

export type PlainCall = {method: string; path: string; key: string | undefined; bodyBytes: number; wasAborted: boolean};

export type PlainStandIn = {
	id: string;
	port: number;
	url: string;
	faults: PlainFaults;
	setFaults: (faults: PlainFaults) => void;
	/** Times that the work was done for an idempotency key. */
	countWork: (key: string) => number;
	/** Calls that arrived, whether or not their work was done. */
	calls: () => readonly PlainCall[];
	stop: () => Promise<void>;
};

/** Starts a plain service on loopback. */
export const startPlainStandIn = async (options: PlainStandInOptions = {}): Promise<PlainStandIn> => {
	const faults: PlainFaults = {};
	const work = new Map<string, number>();
	const calls: PlainCall[] = [];

	const takeFault = (): PlainFaults => {
		if (faults.times === 0) {
			return {};
		}

		if (faults.times !== undefined) {
			faults.times -= 1;
		}

		return {...faults};
	};

	const answerEcho = (req: IncomingMessage, res: ServerResponse, body: Buffer, drop: PlainFaults['drop']): void => {
		if (drop === 'after') {
			res.destroy();
			return;
		}

		res.writeHead(200, {
			'content-type': req.headers['content-type'] ?? 'application/octet-stream',
			'content-length': String(body.length),
			'x-served-by': options.id ?? 'plain',
			'x-echo-path': req.url ?? '',
		});
		if (drop === 'midway') {
			res.write(body.subarray(0, Math.floor(body.length / 2)), () => {
				res.destroy();
			});
			return;
		}

		res.end(body);
	};

	const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const header = req.headers['idempotency-key'];
		const key = header === undefined ? undefined : String(header);
		const call: PlainCall = {
			method: req.method ?? '', path: req.url ?? '', key, bodyBytes: 0, wasAborted: false,
		};
		calls.push(call);
		res.once('close', () => {
			call.wasAborted = !res.writableFinished;
		});
		const fault = takeFault();
		const body = await readBytes(req);
		call.bodyBytes = body.length;
		if (fault.drop === 'before') {
			res.destroy();
			return;
		}

		if (fault.status !== undefined) {
			sendJson(res, fault.status, {error: 'by a fault switch'});
			return;
		}

		if (key !== undefined) {
			work.set(key, (work.get(key) ?? 0) + 1);
		}

		await sleep(fault.workMs ?? options.workMs ?? 0);
		answerEcho(req, res, body, fault.drop);
	};

	const server = await startHttpServer(async (req, res, url) => {
		if (url.pathname === '/judge') {
			sendJson(res, 200, {work: Object.fromEntries(work), calls});
			return;
		}

		await serve(req, res);
	}, options.port, options.bind);
	return {
		id: options.id ?? 'plain',
		port: server.port,
		url: server.url,
		faults,
		setFaults(next) {
			for (const name of Object.keys(faults)) {
				Reflect.deleteProperty(faults, name);
			}

			Object.assign(faults, next);
		},
		countWork: key => work.get(key) ?? 0,
		calls: () => calls,
		stop: server.stop,
	};
};
