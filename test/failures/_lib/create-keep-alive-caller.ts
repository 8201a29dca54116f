/** A caller that keeps its connections open between calls, one to each host, and follows `Connection: close`. */
import {Pool, type Dispatcher} from 'undici';
import {v7 as createKey} from 'uuid';
import {expectedAnswer} from '../../stand-ins/engine/index.js';

export type CallKind = 'letter' | 'scene' | 'desk lookup' | 'desk change';

export type KeepAliveCaller = {
	/** Sends one request; never rejects. */
	ask: (callerUrl: string, kind: CallKind, name: string) => Promise<{isWhole: boolean; detail: string}>;
	close: () => Promise<void>;
};

type Call = {path: string; method: 'GET' | 'POST'; headers: Record<string, string>; body?: string; expected: string};

const maxTokens = 8;

function toCall(kind: CallKind, name: string): Call {
	if (kind === 'desk lookup') {
		return {
			path: `/desk/box/${name}`, method: 'GET', headers: {}, expected: '',
		};
	}

	const key = {'idempotency-key': createKey()};
	if (kind === 'desk change') {
		return {
			path: `/desk/forwarding/${name}`, method: 'POST', headers: key, body: name, expected: name,
		};
	}

	const prompt = `${kind} ${name}`;
	return {
		path: '/v1/completions',
		method: 'POST',
		headers: {'content-type': 'application/json', ...(kind === 'scene' && {...key, 'x-scene': 'billed'})},
		body: JSON.stringify({model: 'post-summary', prompt, max_tokens: maxTokens}),
		expected: expectedAnswer(prompt, maxTokens).join(''),
	};
}

function toText(body: string): string | undefined {
	const {choices} = JSON.parse(body) as {choices?: Array<{text?: string}>};
	return choices?.[0]?.text;
}

/** Creates a caller without open connections. */
export function createKeepAliveCaller(): KeepAliveCaller {
	const pools = new Map<string, Dispatcher>();
	const toPool = (url: string): Dispatcher => {
		const pool = pools.get(url) ?? new Pool(url, {connections: 1, headersTimeout: 0, bodyTimeout: 0});
		pools.set(url, pool);
		return pool;
	};

	return {
		async ask(callerUrl, kind, name) {
			const {path, method, headers, body, expected} = toCall(kind, name);
			try {
				const res = await toPool(callerUrl).request({
					path, method, headers: {'x-workspace': 'odvetniki-breg', ...headers}, ...(body !== undefined && {body}),
				});
				const answer = await res.body.text();
				const isCompletion = path === '/v1/completions';
				return {isWhole: res.statusCode === 200 && (isCompletion ? toText(answer) : answer) === expected, detail: `${res.statusCode} ${answer.slice(0, 400)}`};
			} catch (error) {
				return {isWhole: false, detail: String(error)};
			}
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}
