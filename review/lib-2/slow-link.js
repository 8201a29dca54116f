/** A link of limited bandwidth before a server: a proxy that hands on the server's bytes no faster than the link does. */
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

const tickMs = 5;
const windowBytes = 65_536;

/**
 * Starts the link on loopback. All connections through it share its bandwidth towards the client.
 *
 * @param {object} options - `to`: address of the server; `mbps`: bandwidth in Mbit/s.
 * @returns {Promise<object>} Address, number of bytes handed on, and the end of the link.
 */
export async function startSlowLink({to, mbps}) {
	const [host, port] = to.split(':');
	const bytesPerMs = mbps * 1000 / 8;
	const flows = new Set();
	let allowance = 0;
	let passedAt = performance.now();
	let passed = 0;

	function passOn() {
		const now = performance.now();
		// A link that was idle hands on no more than a tick's bytes at once.
		allowance = Math.min(allowance + (bytesPerMs * (now - passedAt)), bytesPerMs * tickMs * 4);
		passedAt = now;
		for (const flow of flows) {
			while (allowance >= 1 && flow.pieces.length > 0) {
				const [piece] = flow.pieces;
				const part = piece.subarray(0, Math.floor(allowance));
				allowance -= part.length;
				passed += part.length;
				flow.held -= part.length;
				flow.client.write(part);
				if (part.length === piece.length) {
					flow.pieces.shift();
				} else {
					flow.pieces[0] = piece.subarray(part.length);
				}
			}

			if (flow.held < windowBytes) {
				flow.server.resume();
			}

			if (flow.isEnded && flow.pieces.length === 0) {
				flow.client.end();
				flows.delete(flow);
			}
		}
	}

	const timer = setInterval(passOn, tickMs);
	const listener = createServer(client => {
		const server = connect(Number(port), host);
		const flow = {
			client, server, pieces: [], held: 0, isEnded: false,
		};
		flows.add(flow);
		const end = () => {
			flows.delete(flow);
			client.destroy();
			server.destroy();
		};

		client.on('error', end).on('close', end).on('data', bytes => server.write(bytes));
		server.on('error', end);
		server.on('data', bytes => {
			flow.pieces.push(bytes);
			flow.held += bytes.length;
			if (flow.held >= windowBytes) {
				server.pause();
			}
		});
		server.on('end', () => {
			flow.isEnded = true;
		});
	});
	listener.listen(0, '127.0.0.1');
	await once(listener, 'listening');
	return {
		address: `127.0.0.1:${listener.address().port}`,
		passed: () => passed,
		close() {
			clearInterval(timer);
			listener.close();
			for (const {client, server} of flows) {
				client.destroy();
				server.destroy();
			}
		},
	};
}
