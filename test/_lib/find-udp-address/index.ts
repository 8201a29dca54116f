import {createSocket} from 'node:dgram';
import {once} from 'node:events';

/**
 * Finds a loopback address on which a test may receive datagrams.
 *
 * @returns The address as `IP:port`. The port was free when it was checked, and another process can still take it.
 */
export async function findUdpAddress(): Promise<string> {
	const socket = createSocket('udp4');
	socket.bind(0, '127.0.0.1');
	await once(socket, 'listening');
	const {port} = socket.address();
	socket.close();
	await once(socket, 'close');
	return `127.0.0.1:${port}`;
}
