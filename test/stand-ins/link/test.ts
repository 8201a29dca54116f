import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import process from 'node:process';
import {after, describe, it} from 'node:test';
import {waitUntil} from '../../_lib/wait-until/index.js';
import {startLinkStandIn} from './index.js';

const stops: Array<() => unknown> = [];

after(async () => {
	for (const stop of stops.reverse()) {
		await stop();
	}
});

/** Starts a link to a server that answers each chunk with `echo:` and the chunk. Records what both ends received. */
const start = async () => {
	const arrived: string[] = [];
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			arrived.push(bytes.toString());
			socket.write(`echo:${bytes.toString()}`);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const link = await startLinkStandIn({target: `127.0.0.1:${(server.address() as AddressInfo).port}`});
	stops.push(() => server.close(), link.stop);
	const dial = async () => {
		const socket: Socket = connect(link.port, '127.0.0.1');
		const got: string[] = [];
		socket.on('data', bytes => got.push(bytes.toString()));
		socket.on('error', () => undefined);
		stops.push(() => socket.destroy());
		await once(socket, 'connect');
		return {socket, got};
	};

	return {link, arrived, dial};
};

/** Starts a link to a server that keeps connections half open. The `onPass` callback runs before each chunk or end is passed on. */
const startHalfOpen = async (onPass: () => void) => {
	const open = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, socket => {
		open.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => open.delete(socket));
		socket.resume();
		// A socket that has received the end of the stream notices a reset only when it writes.
		const writes = setInterval(() => socket.write('x'), 10);
		socket.once('close', () => {
			clearInterval(writes);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const link = await startLinkStandIn({
		target: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		isCutFor() {
			onPass();
			return false;
		},
	});
	stops.push(() => server.close(), link.stop, () => {
		for (const socket of open) {
			socket.destroy();
		}
	});
	return {link, open};
};

const wait = {deadlineMs: 5000, what: 'bytes'};

describe('startLinkStandIn', () => {
	it('passes bytes both ways', async () => {
		const {arrived, dial} = await start();
		const {socket, got} = await dial();
		socket.write('a');
		await waitUntil(() => got.join('') === 'echo:a', wait);
		assert.deepEqual(arrived, ['a']);
	});

	it('discards the bytes of one direction, keeps the connection open, and resets it on healing', async () => {
		const {link, arrived, dial} = await start();
		const {socket, got} = await dial();
		link.cut('from-target');
		socket.write('a');
		await waitUntil(() => arrived.length === 1, wait);
		await waitUntil(() => link.bytes().fromTarget === 6, wait);
		assert.deepEqual(got, []);
		assert.equal(socket.destroyed, false);
		link.heal();
		await waitUntil(() => socket.destroyed, {deadlineMs: 5000, what: 'the reset'});
		const again = await dial();
		again.socket.write('b');
		await waitUntil(() => again.got.join('') === 'echo:b', wait);
	});

	it('passes nothing during a cut, and keeps connections that lost nothing', async () => {
		const {link, arrived, dial} = await start();
		const {socket, got} = await dial();
		link.cut();
		const silent = await dial();
		silent.socket.write('lost');
		link.heal();
		await waitUntil(() => silent.socket.destroyed, {deadlineMs: 5000, what: 'the reset'});
		socket.write('a');
		await waitUntil(() => got.join('') === 'echo:a', wait);
		assert.deepEqual(arrived, ['a']);
	});

	// Guards against a process that never exits because the descriptor of a reset connection leaked.
	it('closes both ends of a connection that is reset while it passes on the end of the stream', async () => {
		let onPass = (): void => undefined;
		const {link, open} = await startHalfOpen(() => {
			onPass();
		});
		const socket: Socket = connect({port: link.port, host: '127.0.0.1', allowHalfOpen: true});
		stops.push(() => socket.destroy());
		socket.on('error', () => undefined);
		socket.resume();
		await once(socket, 'connect');
		await waitUntil(() => open.size === 1, wait);
		onPass = () => {
			process.nextTick(link.reset);
		};

		socket.end();
		await waitUntil(() => open.size === 0, {deadlineMs: 5000, what: 'the server to see the reset'});
		assert.equal(link.countConnections(), 0);
	});
});
