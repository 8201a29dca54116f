/** Finds free ports outside the ephemeral range, so that no outgoing connection can take the port of a process that restarts. */
import {createServer} from 'node:net';
import process from 'node:process';

const first = 12_000;
const last = 31_000;

let next = first + ((process.pid * 97) % (last - first));

const isFree = async (port: number): Promise<boolean> => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, '127.0.0.1', () => {
		server.close(() => {
			resolve(true);
		});
	});
});

/** Picks a free port, a different one on each call. */
export async function pickPort(): Promise<number> {
	for (let tries = 0; tries < 1000; tries++) {
		next = next >= last ? first : next + 1;
		if (await isFree(next)) {
			return next;
		}
	}

	throw new Error('no free port between 12000 and 31000');
}
