import {connect} from 'node:net';
import {type Milliseconds} from '../../ports/clock.js';

/**
 * Tries to open a TCP connection and closes it at once.
 *
 * @param url - URL of the server.
 * @param timeoutMs - Time within which the connection must be open.
 * @returns Whether it was opened.
 */
export async function probeConnection(url: string, timeoutMs: Milliseconds): Promise<boolean> {
	const {hostname, port} = new URL(url);
	return new Promise(resolve => {
		const socket = connect({host: hostname, port: Number(port)});
		const settle = (isConnected: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isConnected);
		};

		// After a pause of this process, the timer fires before a connection that is open by then is reported.
		const timer = setTimeout(() => {
			setImmediate(settle, false);
		}, timeoutMs);
		socket.once('connect', () => {
			settle(true);
		}).on('error', () => {
			settle(false);
		});
	});
}
