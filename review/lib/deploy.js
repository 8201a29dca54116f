/* eslint-disable camelcase -- The names are those of the wire. */
/** Starts relays with the command and the settings template of the deploy file. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {once} from 'node:events';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';

const root = path.join(import.meta.dirname, '..', '..');
const metricsPort = 9464;
const startLimitMs = 20_000;

function readDeploy(key) {
	const text = readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
	return new RegExp(`^${key} = "(?<value>.*)"$`, 'mv').exec(text).groups.value;
}

function lookUp(stack, name) {
	if (name === '.') {
		return stack.at(-1).value;
	}

	for (const {value} of stack.toReversed()) {
		let found = value;
		for (const part of name.split('.')) {
			found = found?.[part];
		}

		if (found !== undefined) {
			return found;
		}
	}

	return undefined;
}

function toText(value) {
	if (Array.isArray(value)) {
		return value.join(',');
	}

	return value === undefined ? '' : (typeof value === 'object' ? JSON.stringify(value) : String(value));
}

/** Fills in a template as the page on the deploy file describes it. */
function render(template, stack) {
	const section = /\{\{(?<mark>[#^])(?<name>[\w.]+)\}\}(?<inner>[\s\S]*?)\{\{\/\k<name>\}\}/gv;
	const filled = template.replaceAll(section, (...parts) => {
		const {mark, name, inner} = parts.at(-1);
		const value = lookUp(stack, name);
		const isThere = value !== undefined && value !== false;
		if (mark === '^') {
			return isThere ? '' : render(inner, stack);
		}

		if (!isThere) {
			return '';
		}

		const entries = typeof value === 'object' ? Object.entries(value) : [['', value]];
		return entries.map(([key, entry], i) => render(inner.replaceAll('{{@}}', key).replaceAll('{{,}}', i < entries.length - 1 ? ',' : ''), [...stack, {value: entry}])).join('');
	});
	return filled.replaceAll(/\{\{(?<name>[\w.]+)\}\}/gv, (...parts) => toText(lookUp(stack, parts.at(-1).name)));
}

async function isFree(ip, port) {
	const probe = createServer().listen(port, ip);
	try {
		await once(probe, 'listening');
		probe.close();
		await once(probe, 'close');
		return true;
	} catch {
		return false;
	}
}

/** Picks a loopback address on which all ports of a host are free, and the ports. */
export async function pickHosts(count) {
	const base = 20_000 + Math.floor(Math.random() * 10_000);
	const ports = {
		front: base, ready: base + 1, control: base + 2, peer: base + 3,
	};
	const ips = [];
	while (ips.length < count) {
		const byte = () => 1 + Math.floor(Math.random() * 250);
		const ip = `127.${byte()}.${byte()}.${byte()}`;
		const free = await Promise.all([...Object.values(ports), metricsPort].map(async port => isFree(ip, port)));
		if (!free.includes(false)) {
			ips.push(ip);
		}
	}

	return {ips, ports};
}

/** Settings of a host, with the figures of the small deployment of Glossworks. */
export function toSettings({
	index, ip, ports, zone, zones, seeds, platform,
}) {
	return {
		node: `front-${index}`,
		ip,
		zone,
		zones,
		internal_ports: [ports.peer, ports.peer + 15],
		seed_nodes: seeds,
		listen: {front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}`},
		limits: {max_fds: 4100},
		bounds: {
			retry_budget_ratio: 0.2, budget_slack: 54, budget_window_s: 10, config_apply_ms: 2000, drain_ms: 2000, grace_s: 8,
		},
		platform: {address: platform},
	};
}

const running = new Set();

function killAll() {
	for (const child of running) {
		child.kill('SIGKILL');
	}
}

process.once('exit', killAll);
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
	process.once(signal, () => {
		killAll();
		process.exit(2);
	});
}

// Exit code 1 says that a rule was broken; a script that fails by itself says 2.
process.on('uncaughtException', error => {
	console.error(error);
	process.exit(2);
});

/** Asks a host whether it is ready. */
export async function askReady(ip, port) {
	return new Promise(resolve => {
		const req = request({
			host: ip, port, path: '/ready', agent: false, timeout: 1000,
		}, res => {
			res.resume();
			resolve(res.statusCode === 200);
		});
		req.on('error', () => {
			resolve(false);
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.end();
	});
}

/** Starts a relay; its settings are written anew, as at each start on the users' machines. */
export async function startRelay(settings, {onLog = () => undefined} = {}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const file = path.join(folder, 'local.env');
	const template = readFileSync(path.join(root, readDeploy('template')), 'utf8');
	writeFileSync(file, render(template, [{value: settings}]));
	const [program, ...args] = readDeploy('run').split(' ');
	const {PATH, HOME, LANG} = process.env;
	const child = spawn(program, args, {
		cwd: root, env: {
			PATH, HOME, ...(LANG && {LANG}), BANYANPORT_NODE_FILE: file,
		}, stdio: ['ignore', 'pipe', 'pipe'],
	});
	running.add(child);
	let exit;
	child.once('exit', (code, signal) => {
		running.delete(child);
		exit = {code, signal};
		rmSync(folder, {recursive: true, force: true});
	});
	let errors = '';
	child.stderr.on('data', bytes => {
		errors += bytes;
	});
	createInterface({input: child.stdout}).on('line', text => {
		try {
			onLog(JSON.parse(text));
		} catch {
			errors += `${text}\n`;
		}
	});
	const relay = {
		settings,
		pid: child.pid,
		exit: () => exit,
		errors: () => errors,
		signal(name) {
			child.kill(name);
		},
		async end(name = 'SIGKILL') {
			if (exit === undefined) {
				child.kill(name);
				await once(child, 'exit');
			}
		},
		async waitUntilReady() {
			const [ip, port] = settings.listen.ready.split(':');
			for (const startedAt = Date.now(); Date.now() - startedAt < startLimitMs; await sleep(100)) {
				if (exit !== undefined) {
					throw new Error(`the relay ended with ${JSON.stringify(exit)}: ${errors}`);
				}

				if (await askReady(ip, Number(port))) {
					return;
				}
			}

			throw new Error(`the relay is not ready: ${errors}`);
		},
	};
	return relay;
}
