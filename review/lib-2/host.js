/** Starts relays as the deploy file says, with settings filled into its template. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const root = path.join(import.meta.dirname, '..', '..');
const settingsFolder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
const startLimitMs = 20_000;

/** Bounds of the naslovnik-ljubljana site. */
const bounds = {
	BANYANPORT_RETRY_RATIO: '0.2', BANYANPORT_RETRY_SLACK: '58', BANYANPORT_RETRY_WINDOW: '10s', BANYANPORT_RULES_WITHIN: '2000ms', BANYANPORT_LEAVE_WITHIN: '2000ms', BANYANPORT_STOP_LIMIT: '8s',
};

/**
 * Finds a port that is free on the given loopback address.
 *
 * @param {string} ip - The address.
 * @returns {Promise<number>} The port.
 */
export async function findPort(ip) {
	const server = createServer();
	server.listen(0, ip);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

/** Reads the command of the role from the deploy file. */
function readCommand() {
	const text = readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
	return /^run = "(?<run>.*)"$/mv.exec(text).groups.run.split(' ');
}

async function isReady(address) {
	return new Promise(resolve => {
		const req = get(`http://${address}/ready`, {agent: false, timeout: 1000}, res => {
			res.resume();
			resolve(res.statusCode === 200);
		});
		req.on('error', () => resolve(false));
		req.on('timeout', () => req.destroy());
	});
}

/**
 * Starts relays, each on a loopback address of its own, and waits until all are ready.
 *
 * @param {object} options - `count` of hosts, address of the `store` or `stores` by host, `zones` by host, and `extra` settings.
 * @returns {Promise<object[]>} The hosts.
 */
export async function startHosts({count, store, stores = [store], zones = ['a'], extra = {}}) {
	const ips = Array.from({length: count}, (_, i) => `127.0.1.${i + 1}`);
	const ports = await Promise.all(['front', 'ready', 'control', 'peer', 'metrics'].map(async () => findPort(ips[0])));
	const [front, ready, control, peer, metrics] = ports;
	const seeds = ips.slice(0, 3).map(ip => `${ip}:${control}`);
	const [program, ...words] = readCommand();
	const hosts = ips.map((ip, i) => {
		const settings = {
			BANYANPORT_HOST_ID: `front-${i}`, BANYANPORT_ZONE: zones[i % zones.length], BANYANPORT_ZONES: [...new Set(zones)].map(zone => `${zone}=r`).join(','), BANYANPORT_BIND: ip, BANYANPORT_CALLER_ADDRESS: `${ip}:${front}`, BANYANPORT_OPERATOR_ADDRESS: `${ip}:${ready}`, BANYANPORT_METRICS_PORT: String(metrics), BANYANPORT_PLATFORM_ADDRESS: stores[i % stores.length], BANYANPORT_CONTROL_ADDRESS: `${ip}:${control}`, BANYANPORT_PEER_ADDRESS: `${ip}:${peer}`, BANYANPORT_SEEDS: seeds.join(','), BANYANPORT_ORDERS_FROM: seeds[0], BANYANPORT_MAX_CONNECTIONS: '4100', ...bounds, ...extra,
		};
		const file = path.join(settingsFolder, `host-${i}.env`);
		const writeSettings = changes => {
			Object.assign(settings, changes);
			writeFileSync(file, Object.entries(settings).map(([name, value]) => `${name}=${value}\n`).join(''));
		};

		writeSettings({});
		const host = {
			name: settings.BANYANPORT_HOST_ID, ip, front, address: `${ip}:${front}`, peer: `${ip}:${peer}`, logs: [], child: undefined, writeSettings,
			start() {
				const child = spawn(program === 'node' ? process.execPath : program, words, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, BANYANPORT_NODE_FILE: file}, stdio: ['ignore', 'pipe', 'pipe']});
				host.child = child;
				host.exit = undefined;
				for (const stream of [child.stdout, child.stderr]) {
					stream.setEncoding('utf8').on('data', text => host.logs.push(text));
				}

				child.once('exit', (code, signal) => {
					host.exit = {code, signal};
				});
			},
			async untilReady() {
				const until = Date.now() + startLimitMs;
				while (!await isReady(`${ip}:${ready}`)) {
					if (Date.now() > until || host.exit !== undefined) {
						throw new Error(`${host.name} is not ready: ${host.logs.join('').slice(-2000)}`);
					}

					await sleep(50);
				}
			},
			isReady: async () => isReady(`${ip}:${ready}`),
			signal(name) {
				host.child.kill(name);
			},
			async end() {
				if (host.child !== undefined && host.exit === undefined) {
					const gone = once(host.child, 'exit');
					host.child.kill('SIGKILL');
					await gone;
				}
			},
		};
		return host;
	});
	process.once('exit', () => {
		for (const {child} of hosts) {
			child?.kill('SIGKILL');
		}

		rmSync(settingsFolder, {recursive: true, force: true});
	});
	for (const host of hosts) {
		host.start();
	}

	await Promise.all(hosts.map(async host => host.untilReady()));
	return hosts;
}
