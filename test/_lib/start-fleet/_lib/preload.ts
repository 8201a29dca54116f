/**
 * Loaded by `node --import` into each process of a fleet whose network can be cut.
 * Routes the connections of the process through the relays of the fleet, from the
 * loopback address of the process. A connection attempt during a cut hangs until
 * the cut is healed, like a SYN packet that is never answered. The programs
 * themselves are unchanged.
 */
import {readFileSync} from 'node:fs';
import net from 'node:net';
import process from 'node:process';
import {isCutBetween, type Cut, type NetworkMap} from './network-map.js';

const retryMs = 100;
const map = JSON.parse(process.env.FLEET_NETWORK ?? '{"routes":{}}') as NetworkMap;

type ConnectOptions = {host?: string; port?: number | string; localAddress?: string};

function readCuts(): Cut[] {
	return JSON.parse(readFileSync(map.cutsFile, 'utf8')) as Cut[];
}

function isCutFrom(names: readonly string[]): boolean {
	const cuts = readCuts();
	return isCutBetween(cuts, map.names, names) || isCutBetween(cuts, names, map.names);
}

/** Returns the options object of a call to `connect`, if there is one. Internal callers of Node pass the normalized arguments as one array. */
function toOptions(args: readonly unknown[]): ConnectOptions | undefined {
	const first = Array.isArray(args[0]) ? (args[0] as unknown[])[0] : args[0];
	return typeof first === 'object' && first !== null ? first : undefined;
}

type Connect = (this: net.Socket, ...args: unknown[]) => net.Socket;

const connect = net.Socket.prototype.connect as unknown as Connect;

const connectThroughRelay: Connect = function (...args) {
	const options = toOptions(args);
	const route = options === undefined ? undefined : map.routes[`${options.host ?? '127.0.0.1'}:${options.port}`];
	if (options === undefined || route === undefined) {
		return connect.apply(this, args);
	}

	// Changed in place, because Node marks the normalized array with a symbol that a copy would lose.
	Object.assign(options, {host: '127.0.0.1', port: route.relayPort, localAddress: map.localAddress});
	if (!isCutFrom(route.names)) {
		return connect.apply(this, args);
	}

	(this as {connecting: boolean}).connecting = true;
	const timer = setInterval(() => {
		if (this.destroyed) {
			clearInterval(timer);
		} else if (!isCutFrom(route.names)) {
			clearInterval(timer);
			connect.apply(this, args);
		}
	}, retryMs);
	return this;
};

net.Socket.prototype.connect = connectThroughRelay;
