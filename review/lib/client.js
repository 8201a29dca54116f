/* eslint-disable camelcase -- The names are those of the wire. */
/** Calls of clients, as PROTOCOL.md describes them. */
import {request} from 'node:http';

const host = 'desk.example';

/** The operator's configuration, with the routes of a small deployment. */
export function toConfig(version, {routes = [], more = []} = {}) {
	return {
		version,
		routes: [
			...more.map(route => ({host, ...route})),
			...routes.map(route => ({host, ...route})),
		],
		services: [
			{name: 'desk', health_path: '/health', max_connections: 100},
			{
				name: 'model', health_path: '/health', max_connections: 620, engine: {
					slots: 128, kv_capacity_tokens: 42_606, hold_ms: 2000, switch_s: 6, kv_hold_s: 0.5, models: [{name: 'm'}],
				},
			},
		],
		limits: {
			header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	};
}

/** Route of a stream with the figures of Glossworks. */
export const toStreamRoute = (name, prefix, fields = {}) => ({
	name, prefix, kind: 'stream', timeout_ms: 14_000, target_latency_ms: 900, priority: 1, service: 'model', max_attempts: 1, sticky: true, resumable: false, gap_target_ms: 300, ...fields,
});

export const newId = () => Math.floor(Math.random() * (2 ** 48)).toString(16).padStart(12, '0');

/** Sends one request on a connection of its own, and reads its answer. */
export async function ask({ip, port}, {path = '/x/', method = 'POST', requestId = newId(), headers = {}, body = 'x'.repeat(600), deadlineMs = 14_000, agent = false}) {
	const sentAt = Date.now();
	return new Promise(resolve => {
		const answer = {
			requestId, sentAt, status: 0, headers: {}, body: '', isWhole: false, firstAt: undefined, endedAt: undefined, error: undefined,
		};
		const end = () => {
			answer.endedAt ??= Date.now();
			resolve(answer);
		};

		const req = request({
			host: ip, port, path, method, agent, headers: {
				host, 'request-id': requestId, 'deadline-ms': String(deadlineMs), ...(method === 'POST' && {'content-length': body.length}), ...headers,
			},
		});
		req.on('response', res => {
			answer.status = res.statusCode;
			answer.headers = res.headers;
			res.setEncoding('utf8');
			res.on('data', text => {
				answer.firstAt ??= Date.now();
				answer.body += text;
			});
			res.on('error', () => undefined);
			res.once('close', () => {
				answer.isWhole = res.complete;
				end();
			});
		});
		req.on('error', error => {
			answer.error = error.code ?? error.message;
			end();
		});
		req.end(method === 'POST' ? body : undefined);
	});
}

/** Sends a prompt, whose last part is its own. */
export const askStream = async (to, {path, requestId = newId(), ...rest}) => ask(to, {
	path, requestId, headers: {model: 'm', 'token-count': '1000,20', 'prompt-prefix': `5c1e07a2:200,${requestId}:800`}, ...rest,
});
