/** The store carries out a server's check-in late, after the server has begun to drain. */
/* eslint-disable camelcase -- The protocol of the platform uses snake case. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '../lib-2/client.js';
import {startHosts} from '../lib-2/host.js';
import {isTroubled, runCase} from '../lib-2/record.js';
import {startServer, toAnswer} from '../lib-2/server.js';
import {startStore} from '../lib-2/store.js';

const heartbeatMs = 1200;
const drainMs = 2000;
const contactMs = 3000;
/** Largest dose of `platform_lost` in the site files. */
const lost = {atMs: 6000, forMs: 5430};
/** Servers whose last check-in of that time is done late, by this much: three of eight writes, of 0.447 at most, 1 to 6 s late. */
const lateMs = [5200, 5600, 3000];
const serverCount = 8;
/** Servers that are emptied and taken away, of 0.25 at most. */
const leavingCount = 2;
/** The servers begin to drain once the store has been stable for long enough. */
const drainAtMs = lost.atMs + lost.forMs + contactMs + 200;
/** A draining server goes on for this long, and a little longer. */
const lingerMs = 5000;
const lengthMs = drainAtMs + 9000;

const config = {
	version: 7,
	routes: [{
		name: 'r-desk', host: 'ficu95.example', prefix: '/desk/', kind: 'unsafe', timeout_ms: 800, target_latency_ms: 100, priority: 2, service: 'okence', max_attempts: 1, sticky: false, resumable: false,
	}],
	services: [{
		name: 'okence', health_path: '/health', max_connections: 110, protocol: 'h1', tls: false,
	}],
	limits: {
		header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
};

await runCase(import.meta.dirname, async note => {
	const store = await startStore();
	const startedAt = Date.now();
	const sinceStart = () => Date.now() - startedAt;
	const isLosing = () => isTroubled && sinceStart() >= lost.atMs && sinceStart() < lost.atMs + lost.forMs;

	/** Carries out a write of a server: at once, or so much later and without an answer. */
	const write = (server, value, delayMs) => {
		const key = `servers/${server.id}`;
		if (delayMs === undefined) {
			store.put(key, value);
			return;
		}

		setTimeout(() => {
			if (!server.isGone) {
				store.put(key, value);
				note(`the store carries out a write of ${server.id} ${delayMs} ms late: ${value.state}, sequence ${value.sequence}`);
			}
		}, delayMs);
	};

	const servers = [];
	for (let i = 0; i < serverCount; i++) {
		const server = {
			id: `i-${i}`, state: 'ready', sequence: 0, arrivals: [], drainAckAt: undefined, isGone: false,
		};
		const listening = await startServer((request, socket) => {
			server.arrivals.push({id: request.headers['request-id'], at: Date.now()});
			setTimeout(() => socket.write(toAnswer(request, {body: 'x'.repeat(800)})), 20);
		});
		const checkIn = delayMs => {
			server.sequence++;
			write(server, {
				service: 'okence', address: listening.address, zone: 'a', version: 'v1', slots: 6, state: server.state, cold_remaining_ms: 0, sequence: server.sequence,
			}, delayMs);
		};

		Object.assign(server, {listening, checkIn});
		checkIn();
		servers.push(server);
	}

	store.put('op/config', config);
	const hosts = await startHosts({count: 2, store: store.address});
	note('2 hosts are ready');
	await sleep(Math.max(0, lost.atMs - 3000 - sinceStart()));

	const beats = servers.map((server, i) => setInterval(() => {
		if (!server.isGone) {
			const isLast = isLosing() && sinceStart() > lost.atMs + lost.forMs - heartbeatMs;
			server.checkIn(isLast ? lateMs[i] : undefined);
		}
	}, heartbeatMs));

	const client = createClient();
	const answers = [];
	let lastId = 0;
	const load = (async () => {
		while (sinceStart() < lengthMs) {
			lastId++;
			answers.push(client.send(hosts[lastId % hosts.length], {
				id: lastId.toString(16).padStart(16, '0'), method: 'POST', path: '/desk/2f', body: '{"box":17}',
			}));
			await sleep(20);
		}
	})();

	await sleep(drainAtMs - sinceStart());
	const leaving = servers.slice(0, leavingCount);
	for (const server of leaving) {
		server.state = 'draining';
		server.checkIn();
		server.drainAckAt = Date.now();
		note(`the store has acknowledged that ${server.id} drains, sequence ${server.sequence}`);
		setTimeout(() => {
			server.isGone = true;
			server.listening.close();
			store.remove(`servers/${server.id}`);
			note(`${server.id} has left`);
		}, lingerMs);
	}

	await load;
	const seen = await Promise.all(answers);
	for (const beat of beats) {
		clearInterval(beat);
	}

	const late = leaving.flatMap(({id, arrivals, drainAckAt}) => arrivals.map(({id: request, at}) => ({server: id, request, afterMs: at - drainAckAt})).filter(({afterMs}) => afterMs > drainMs));
	for (const {server, request, afterMs} of late.slice(0, 20)) {
		note(`request ${request} reached ${server} ${afterMs} ms after the ack`);
	}

	const statuses = {};
	for (const {status, error} of seen) {
		statuses[status ?? error] = (statuses[status ?? error] ?? 0) + 1;
	}

	note(`${seen.length} requests: ${JSON.stringify(statuses)}; ${late.length} reached a draining server more than ${drainMs} ms after the ack`);
	await Promise.all(hosts.map(async host => host.end()));
	return late.length > 0;
});
