/** Stand-in of the clients: sends requests, each with an id of its own, and notes what comes back. */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';

/**
 * Creates a client with kept connections to the hosts.
 *
 * @returns {object} `send` resolves with what the client has seen: status, headers, body, whether it is whole, and times in ms.
 */
export function createClient() {
	const agent = new Agent({keepAlive: true, maxSockets: 512});
	return {
		async send(host, {id, method = 'GET', path, deadlineMs = 1500, body, headers = {}, name = 'ficu95.example', pace, signal}) {
			const sentAt = Date.now();
			return new Promise(resolve => {
				let settled = false;
				const settle = seen => {
					if (!settled) {
						settled = true;
						clearTimeout(timer);
						resolve({
							id, host: host.name, path, sentAt, tookMs: Date.now() - sentAt, isKept: req.reusedSocket, ...seen,
						});
					}
				};

				const req = request({
					host: host.ip, port: host.front, method, path, agent, signal, headers: {
						host: name, 'request-id': id, 'deadline-ms': String(deadlineMs), ...(body !== undefined && {'content-length': body.length}), ...headers,
					},
				}, res => {
					const pieces = [];
					res.on('data', piece => pieces.push(piece));
					res.once('end', () => settle({
						status: res.statusCode, headers: res.headers, body: Buffer.concat(pieces).toString('latin1'), isWhole: res.complete,
					}));
					res.once('error', error => settle({
						status: res.statusCode, headers: res.headers, body: Buffer.concat(pieces).toString('latin1'), isWhole: false, error: error.code ?? error.message,
					}));
				});
				const timer = setTimeout(() => {
					settle({error: 'no answer'});
					req.destroy();
				}, deadlineMs + 2000);
				req.on('error', error => settle({error: error.code ?? error.message}));
				if (pace === undefined) {
					req.end(body);
				} else {
					pace(req, body);
				}
			});
		},
		close: () => agent.destroy(),
	};
}
