import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {pickPort} from '../pick-port/index.js';

async function isFree(port: number): Promise<boolean> {
	const socket = createSocket('udp4');
	socket.bind(port, '127.0.0.1');
	try {
		await once(socket, 'listening');
		return true;
	} catch {
		return false;
	} finally {
		socket.close();
	}
}

/**
 * Finds a loopback address on which a test may receive datagrams and connections.
 *
 * @returns The address as `IP:port`. The port was free when it was checked, and no outgoing connection can take it.
 */
export async function findUdpAddress(): Promise<string> {
	for (;;) {
		const port = await pickPort();
		if (await isFree(port)) {
			return `127.0.0.1:${port}`;
		}
	}
}
