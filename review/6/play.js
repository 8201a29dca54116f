/** The configuration grows by many routes, four times, to a value that the store accepts; the hosts' links carry 7 Mbit/s. */
/* eslint-disable camelcase -- The protocol of the platform uses snake case. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '../lib-2/client.js';
import {startHosts} from '../lib-2/host.js';
import {isTroubled, runCase} from '../lib-2/record.js';
import {startServer, toAnswer} from '../lib-2/server.js';
import {startSlowLink} from '../lib-2/slow-link.js';
import {startStore} from '../lib-2/store.js';

/** Of the grown deployments: links of the machines, and bounds. */
const linkMbps = 7;
const configApplyMs = 3000;
const hostCount = 3;
const restartMs = 15_000;
/** Routes that each change adds; 1,400 is the largest count of `big_config` in the site files. */
const growths = isTroubled ? [1400, 1400, 1400, 700] : [20, 20, 20, 20];
/** Largest value that the store takes. */
const valueBytes = 1_048_576;

const toRoute = (number, prefix) => ({
	name: `r-${number.toString(36).padStart(7, '0')}`, host: 'ficu95.example', prefix, kind: 'safe', timeout_ms: 800, target_latency_ms: 100, priority: 2, service: 'okence', max_attempts: 2, sticky: false, resumable: false,
});

const toConfig = (version, routes) => ({
	version,
	routes,
	services: [{
		name: 'okence', health_path: '/health', max_connections: 110, protocol: 'h1', tls: false,
	}],
	limits: {
		header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
});

const firstRoutes = Array.from({length: 5}, (_, i) => toRoute(i, `/first${i}/`));

await runCase(import.meta.dirname, async note => {
	const store = await startStore();
	const links = await Promise.all(Array.from({length: hostCount}, async () => startSlowLink({to: store.address, mbps: linkMbps})));
	for (let i = 0; i < 4; i++) {
		const server = await startServer((request, socket) => {
			setTimeout(() => socket.write(toAnswer(request, {body: 'x'.repeat(800)})), 20);
		});
		store.put(`servers/i-${i}`, {
			service: 'okence', address: server.address, zone: 'a', version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: 1,
		});
	}

	store.put('op/config', toConfig(7, firstRoutes));
	const hosts = await startHosts({
		count: hostCount, stores: links.map(({address}) => address), extra: {BANYANPORT_RULES_WITHIN: `${configApplyMs}ms`, BANYANPORT_LEAVE_WITHIN: '3000ms'},
	});
	note(`${hostCount} hosts are ready, with ${firstRoutes.length} routes`);

	const client = createClient();
	let lastId = 0;
	const ask = async (host, path) => {
		lastId++;
		return client.send(host, {id: lastId.toString(16).padStart(16, '0'), path});
	};

	/** Sends requests to routes by turns, to each host, and returns how many got a success. */
	const probe = async (routes, {count, gapMs}) => {
		const seen = [];
		for (let i = 0; i < count; i++) {
			seen.push(ask(hosts[i % hosts.length], `${routes[(i * 37) % routes.length].prefix}2f`));
			await sleep(gapMs);
		}

		const answers = await Promise.all(seen);
		const statuses = {};
		for (const {status, error} of answers) {
			statuses[status ?? error] = (statuses[status ?? error] ?? 0) + 1;
		}

		return {served: answers.filter(({status, isWhole}) => status === 200 && isWhole).length / count, statuses};
	};

	const before = await probe(firstRoutes, {count: 30, gapMs: 50});
	note(`first routes before: ${JSON.stringify(before)}`);

	let routes = firstRoutes;
	let version = 7;
	/** The operator adds routes; returns them. */
	const grow = count => {
		const added = Array.from({length: count}, (_, i) => toRoute(routes.length + i, `/p${(routes.length + i).toString(36).padStart(6, '0')}/`));
		routes = [...routes, ...added];
		version += 3;
		const config = toConfig(version, routes);
		const size = JSON.stringify(config).length;
		if (size > valueBytes) {
			throw new Error(`the store takes no value of ${size} bytes`);
		}

		store.put('op/config', config);
		note(`the store has acknowledged version ${version} with ${routes.length} routes, ${size} bytes`);
		return added;
	};

	let added;
	for (const count of growths) {
		added = grow(count);
		await sleep(6000);
	}

	await sleep(configApplyMs + 1000);

	const [first, later] = await Promise.all([probe(firstRoutes, {count: 60, gapMs: 250}), probe(added, {count: 60, gapMs: 250})]);
	note(`from 10 s after the ack, first routes: ${JSON.stringify(first)}`);
	note(`from 10 s after the ack, routes added last: ${JSON.stringify(later)}`);
	for (const [i, host] of hosts.entries()) {
		const lines = host.logs.join('').split('\n');
		note(`${host.name}: ${lines.filter(line => line.includes('platform does not answer')).length} times "platform does not answer", ${Math.round(links[i].passed() / 1000)} kB read from the store`);
	}

	// For the record alone: what a host knows that starts now.
	const [restarted] = hosts;
	await restarted.end();
	restarted.start();
	const restartedAt = Date.now();
	while (!await restarted.isReady() && Date.now() - restartedAt < restartMs) {
		await sleep(100);
	}

	note(`${restarted.name} was started again, and is ${await restarted.isReady() ? `ready after ${Date.now() - restartedAt} ms` : `not ready after ${restartMs} ms`}`);
	await Promise.all(hosts.map(async host => host.end()));
	return first.served > 0 && later.served < first.served / 4;
});
