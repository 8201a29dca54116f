/** The engine protocol over HTTP/1.1, and the calls of the judge on the same port. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {RequestFault, readJson, sendJson} from '../../_lib/http-server.js';
import {type ImitatedEngine} from './create-engine.js';
import {takeFault, replaceFaults} from './take-fault.js';
import {type EngineFaults} from './types.js';

type Route = {engine: ImitatedEngine; faults: EngineFaults; req: IncomingMessage; res: ServerResponse; url: URL};

const answer = ({faults, res}: Route, call: 'reservations' | 'prefills' | 'imports', status: number, body: unknown): void => {
	if (faults.loseAnswers?.on.includes(call) && takeFault(faults.loseAnswers)) {
		res.destroy();
		return;
	}

	sendJson(res, status, body);
};

const doWork = async (route: Route, call: string): Promise<boolean> => {
	const {engine, faults, req, res} = route;
	switch (call) {
		case 'POST /engine/reservations': {
			answer(route, 'reservations', 201, engine.reserve(await readJson(req)));
			return true;
		}

		case 'POST /engine/prefills': {
			answer(route, 'prefills', 200, await engine.prefill(await readJson(req)));
			return true;
		}

		case 'POST /engine/imports': {
			answer(route, 'imports', 200, await engine.importKv(await readJson(req)));
			return true;
		}

		case 'POST /engine/streams': {
			engine.decode(await readJson(req), res);
			if (faults.loseAnswers?.on.includes('streams') && takeFault(faults.loseAnswers)) {
				res.destroy();
			}

			return true;
		}

		case 'POST /engine/cancels': {
			const body = await readJson(req);
			if (takeFault(faults.loseCancels)) {
				res.destroy();
				return true;
			}

			sendJson(res, 200, engine.cancel(body));
			return true;
		}

		case 'POST /engine/orders': {
			engine.order(await readJson(req));
			sendJson(res, 200, {});
			return true;
		}

		default: {
			return false;
		}
	}
};

const read = async (route: Route, call: string): Promise<boolean> => {
	const {engine, res, url} = route;
	const parts = url.pathname.split('/').map(part => decodeURIComponent(part));
	switch (call) {
		case 'GET /engine/holds': {
			sendJson(res, 200, {holds: engine.holds()});

			break;
		}

		case 'GET /engine/load': {
			sendJson(res, 200, engine.load());

			break;
		}

		case 'GET /engine/cache-events': {
			sendJson(res, 200, engine.cacheEvents(Number(url.searchParams.get('since') ?? 1)));

			break;
		}

		default: {if (call.startsWith('GET /engine/kv/')) {
			await engine.serveKv(parts[3] ?? '', res);
		} else if (call.startsWith('GET /engine/streams/')) {
			engine.resume(parts[3] ?? '', Number(parts[4]), Number(url.searchParams.get('offset') ?? 0), res);
		} else {
			return false;
		}
		}
	}

	return true;
};

const judge = async ({engine, faults, req, res}: Route, call: string): Promise<boolean> => {
	switch (call) {
		case 'GET /judge': {
			sendJson(res, 200, engine.judgeReport());
			return true;
		}

		case 'POST /judge/faults': {
			replaceFaults(faults, await readJson(req));
			sendJson(res, 200, faults);
			return true;
		}

		case 'POST /judge/state': {
			const {state} = await readJson(req);
			engine.setState(state as 'serving' | 'loading' | 'leaving');
			sendJson(res, 200, {state});
			return true;
		}

		default: {
			return false;
		}
	}
};

/** Answers one call. */
export const routeCall = async (route: Route): Promise<void> => {
	const {engine, faults, req, res, url} = route;
	const call = `${req.method} ${url.pathname}`;
	const callId = req.headers['x-call-id'];
	if (callId !== undefined) {
		res.setHeader('x-call-id', callId);
	}

	if (url.pathname.startsWith('/judge') && await judge(route, call)) {
		return;
	}

	engine.judge.countCall(`${req.method} ${url.pathname.split('/').slice(1, 3).join('/')}`);
	if (faults.lateMs !== undefined) {
		await sleep(faults.lateMs);
	}

	if (takeFault(faults.garbageAnswers)) {
		res.writeHead(200, {'content-type': 'application/json'});
		res.end('<html>not the protocol</html>');
		return;
	}

	if (!await doWork(route, call) && !await read(route, call)) {
		throw new RequestFault(404, {error: `no such call: ${call}`});
	}
};
