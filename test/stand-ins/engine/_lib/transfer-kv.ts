/**
 * Transfers a KV cache between two engines. Only a line that describes the cache
 * and a few small pieces are sent. Each piece stands for its share of the cache and
 * occupies the links of both engines for the time that the share would take.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Dispatcher, request} from 'undici';
import {RequestFault, resetConnection} from '../../_lib/http-server.js';
import {type Link} from './create-link.js';
import {type KvCache, type Prefills} from './create-prefills.js';
import {refuse} from './refuse.js';
import {takeFault} from './take-fault.js';
import {type EngineFaults} from './types.js';

const pieceCount = 16;
const stallMs = 60_000;

type ServeOptions = {prefills: Prefills; kvId: string; res: ServerResponse; link: Link; faults: EngineFaults};

const servePieces = async ({res, link, faults}: ServeOptions, kv: KvCache, signal: AbortSignal): Promise<void> => {
	const fault = takeFault(faults.transfer) ? faults.transfer : undefined;
	const faultAt = Math.floor(pieceCount * (fault?.atShare ?? 0.5));
	for (let piece = 0; piece < pieceCount; piece++) {
		if (fault !== undefined && piece === faultAt) {
			if (fault.kind === 'reset') {
				resetConnection(res);
				throw new Error('reset by a fault switch');
			}

			await sleep(stallMs, undefined, {signal});
		}

		await link.pass(kv.bytes / pieceCount, signal);
		res.write('.\n');
	}
};

/** Answers a pull by another engine. */
export const serveKv = async (options: ServeOptions): Promise<void> => {
	const transfer = options.prefills.beginTransfer(options.kvId);
	if (transfer === undefined) {
		throw new RequestFault(410, {error: {reason: 'expired', message: 'no such cache'}});
	}

	const {res} = options;
	const closed = new AbortController();
	res.once('close', () => {
		closed.abort();
	});
	const signal = AbortSignal.any([closed.signal, transfer.signal]);
	try {
		res.writeHead(200, {'content-type': 'application/octet-stream'});
		res.write(JSON.stringify(transfer.kv) + '\n');
		await servePieces(options, transfer.kv, signal);
		res.end();
		transfer.done(true);
	} catch {
		transfer.done(false);
		res.destroy();
	}
};

type PullOptions = {fromUrl: string; kvId: string; link: Link; signal: AbortSignal; dispatcher: Dispatcher};

const readPieces = async (body: AsyncIterable<Buffer>, {link, signal}: PullOptions): Promise<KvCache> => {
	let text = '';
	let kv: KvCache | undefined;
	let receivedCount = 0;
	for await (const part of body) {
		text += part.toString('utf8');
		const lines = text.split('\n');
		text = lines.pop() ?? '';
		for (const line of lines) {
			if (kv === undefined) {
				kv = JSON.parse(line) as KvCache;
				continue;
			}

			receivedCount += 1;
			await link.pass(kv.bytes / pieceCount, signal);
		}
	}

	if (kv === undefined || receivedCount < pieceCount) {
		throw new Error('the transfer ended early');
	}

	return kv;
};

/** Pulls a cache from the engine that computed it. */
export const pullKv = async (options: PullOptions): Promise<KvCache> => {
	const {fromUrl, kvId, signal, dispatcher} = options;
	try {
		const answer = await request(`${fromUrl}/engine/kv/${encodeURIComponent(kvId)}`, {signal, dispatcher});
		if (answer.statusCode === 410) {
			await answer.body.dump();
			throw new RequestFault(410, {error: {reason: 'expired', message: 'the cache has expired'}});
		}

		return await readPieces(answer.body as AsyncIterable<Buffer>, options);
	} catch (error) {
		if (error instanceof RequestFault) {
			throw error;
		}

		throw refuse('source-failed', `the transfer failed: ${String(error)}`);
	}
};
