/** The list of seeds changes, and a host is restarted as planned. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {toConfig, toStreamRoute} from '../lib/client.js';
import {pickHosts, startRelay, toSettings} from '../lib/deploy.js';
import {startEngine} from '../lib/engine.js';
import {createRecord} from '../lib/record.js';
import {startStore} from '../lib/store.js';

const isTrouble = process.env.TROUBLE !== '0';
const record = createRecord(import.meta.dirname);
const rounds = 8;
const leaseMs = 3000;
const switchMs = 2000;

const store = await startStore();
store.put('op/config', toConfig(1, {routes: [toStreamRoute('scene-dialogue', '/scene/')]}));
const orders = [];
const engines = [];

/** Starts and publishes a server; it publishes its stage again after each change. */
async function add(id, stage) {
	const engine = await startEngine({
		id, stage, onOrder(order) {
			orders.push({...order, at: Date.now()});
			record(`server ${id} gets an order from ${order.holder}, fence ${order.fence}, to ${order.wanted}: ${order.status}`);
			if (order.status === 202) {
				setTimeout(() => {
					store.put(`servers/${id}`, engine.toEntry({sequence: 2}));
				}, switchMs);
			}
		},
	});
	engines.push(engine);
	store.put(`servers/${id}`, engine.toEntry());
	return engine;
}

const {ips, ports} = await pickHosts(2);
const controls = ips.map(ip => `${ip}:${ports.control}`);
const toHost = (index, seeds) => toSettings({
	index: index + 1, ip: ips[index], ports, zone: 'a', zones: {a: 'r', b: 'r'}, seeds, platform: store.address,
});
const start = async (index, seeds) => startRelay(toHost(index, seeds), {
	onLog({message}) {
		if (message === 'this host gives orders to servers') {
			record(`front-${index + 1} logs: ${message}`);
		}
	},
});

/** Finds orders to one server that two holders gave with one number, a lower number after a higher one, and turns within the lease. */
function findBroken() {
	const broken = [];
	for (const {id} of engines) {
		const own = orders.filter(order => order.id === id);
		for (const [i, order] of own.entries()) {
			const before = own.slice(0, i);
			const isSame = before.some(({holder, fence}) => holder !== order.holder && fence === order.fence);
			const isLower = before.some(({fence}) => fence > order.fence);
			const last = before.findLast(({holder}) => holder !== order.holder);
			const isBack = last !== undefined && before.some(({holder, at}) => holder === order.holder && at < last.at && order.at - at <= leaseMs);
			if (isSame || isLower || isBack) {
				const reasons = [...(isSame ? ['another holder used it'] : []), ...(isLower ? ['a higher one came before'] : []), ...(isBack ? ['in turn with another holder'] : [])];
				broken.push(`${id}: ${order.holder} with fence ${order.fence}, ${reasons.join(', ')}`);
			}
		}
	}

	return broken;
}

const relays = [];

async function play() {
	for (let i = 1; i <= 2; i++) {
		await add(`prefill-${i}`, 'prefill');
	}

	for (let i = 1; i <= 4; i++) {
		await add(`decode-${i}`, 'decode');
	}

	relays.push(await start(0, controls), await start(1, controls));
	await Promise.all(relays.map(async relay => relay.waitUntilReady()));
	await sleep(2000);
	record(isTrouble ? 'the settings name the seeds in another order; front-2 is stopped and started' : 'front-2 is stopped and started');
	await relays[1].end('SIGTERM');
	relays[1] = await start(1, isTrouble ? controls.toReversed() : controls);
	await relays[1].waitUntilReady();
	await sleep(8000);
	for (let i = 1; i <= rounds; i++) {
		// A prefill server more and a decode server less make one order due.
		const leaving = engines.find(engine => engine.stage() === 'decode' && engine.isLeaving !== true);
		leaving.isLeaving = true;
		record(`round ${i}: ${leaving.id} leaves, a prefill server is added`);
		store.put(`servers/${leaving.id}`, leaving.toEntry({state: 'draining', sequence: 3}));
		await add(`added-${i}`, 'prefill');
		await sleep(4000);
		store.remove(`servers/${leaving.id}`);
		await sleep(1300);
	}

	const broken = findBroken();
	for (const text of broken) {
		record(`ONE: ${text}`);
	}

	record(`${orders.length} orders from ${new Set(orders.map(({holder}) => holder)).size} holders, ${broken.length} against the rule`);
	return broken.length > 0 ? 1 : (orders.length > 0 ? 0 : 2);
}

let code = 2;
try {
	code = await play();
} catch (error) {
	record(`could not run: ${error.stack}`);
} finally {
	await Promise.all(relays.map(async relay => relay.end()));
	await Promise.all([store.close(), ...engines.map(async engine => engine.close())]);
}

process.exit(code);
