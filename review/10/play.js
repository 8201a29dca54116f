/** The operator raises the limit of headers in the configuration; clients then use it. */
/* eslint-disable camelcase -- The protocol of the platform uses snake case. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '../lib-2/client.js';
import {startHosts} from '../lib-2/host.js';
import {isTroubled, runCase} from '../lib-2/record.js';
import {startServer, toAnswer} from '../lib-2/server.js';
import {startStore} from '../lib-2/store.js';

const configApplyMs = 2000;
const headerBytes = {before: 16_384, after: 32_768};
const requests = 200;

const toConfig = (version, limit) => ({
	version,
	routes: [{
		name: 'r-desk', host: 'ficu95.example', prefix: '/desk/', kind: 'safe', timeout_ms: 800, target_latency_ms: 100, priority: 2, service: 'okence', max_attempts: 2, sticky: false, resumable: false,
	}],
	services: [{
		name: 'okence', health_path: '/health', max_connections: 110, protocol: 'h1', tls: false,
	}],
	limits: {
		header_bytes: limit, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
});

/** Parts of a prompt, as clients list them; the list takes the given number of bytes. */
const toPrefix = bytes => Array.from({length: Math.floor(bytes / 13)}, (_, i) => `${(0xA0_00_00_00 + i).toString(16)}:250`).join(',');

await runCase(import.meta.dirname, async note => {
	const store = await startStore();
	for (let i = 0; i < 3; i++) {
		const server = await startServer((request, socket) => {
			setTimeout(() => socket.write(toAnswer(request, {body: 'x'.repeat(800)})), 20);
		});
		store.put(`servers/i-${i}`, {
			service: 'okence', address: server.address, zone: 'a', version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: 1,
		});
	}

	store.put('op/config', toConfig(7, headerBytes.before));
	const hosts = await startHosts({count: 2, store: store.address});
	note('2 hosts are ready');
	const limit = isTroubled ? headerBytes.after : headerBytes.before;
	store.put('op/config', toConfig(10, limit));
	note(`the store has acknowledged version 10, with header_bytes ${limit}`);
	await sleep(configApplyMs + 5000);

	const client = createClient();
	/** Five eighths of the limit. */
	const prefix = toPrefix(limit * 5 / 8);
	const statuses = {};
	for (let i = 0; i < requests; i++) {
		const {status, error} = await client.send(hosts[i % hosts.length], {id: (i + 1).toString(16).padStart(16, '0'), path: '/desk/2f', headers: {model: 'm', 'token-count': '1460,80', 'prompt-prefix': prefix}});
		statuses[status ?? error] = (statuses[status ?? error] ?? 0) + 1;
	}

	note(`${requests} requests with ${prefix.length} bytes in one header, of ${limit} bytes allowed: ${JSON.stringify(statuses)}`);
	const denied = Object.entries(statuses).filter(([status]) => /^[34]/v.test(status) && !['408', '421', '429'].includes(status)).reduce((sum, [, count]) => sum + count, 0);
	await Promise.all(hosts.map(async host => host.end()));
	return denied > 5 + (requests / 500);
});
