/** Finds free ports outside of the range from which outgoing connections take theirs, so that a restarted process finds its port free. */
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

/** Picks one free port, another each time. */
export async function pickPort(): Promise<number> {
	for (let tries = 0; tries < 1000; tries++) {
		next = next >= last ? first : next + 1;
		if (await isFree(next)) {
			return next;
		}
	}

	throw new Error('no free port between 12000 and 31000');
}
