/* eslint-disable camelcase -- The names are those of the wire. */
/** A server crashes in the middle of streams that may be resumed, of a service without engines. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, newId, toConfig, toStreamRoute,
} from '../lib/client.js';
import {pickHosts, startRelay, toSettings} from '../lib/deploy.js';
import {startEngine, toStream} from '../lib/engine.js';
import {createRecord} from '../lib/record.js';
import {startStore} from '../lib/store.js';

const isTrouble = process.env.TROUBLE !== '0';
const record = createRecord(import.meta.dirname);
const events = 40;

const store = await startStore();
store.put('op/config', toConfig(1, {routes: [toStreamRoute('notes', '/notes/', {resumable: true, max_attempts: 2, service: 'desk'})]}));
const engines = await Promise.all([1, 2, 3, 4].map(async i => startEngine({
	id: `desk-${i}`, events, stepMs: 25, isStreaming: true,
	onRun({id, requestId, first}) {
		record(`server ${id} runs ${requestId} from event ${first}`);
		return {
			end(how) {
				record(`server ${id} ends the run of ${requestId}: ${how}`);
			},
		};
	},
})));
for (const engine of engines) {
	store.put(`servers/${engine.id}`, engine.toEntry({service: 'desk'}));
}

const {ips: [ip], ports} = await pickHosts(1);
const relay = await startRelay(toSettings({
	index: 1, ip, ports, zone: 'a', zones: {a: 'r', b: 'r'}, seeds: [], platform: store.address,
}));

const toIds = body => [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(match => Number(match.groups.id));

async function send() {
	const requestId = newId();
	record(`client sends ${requestId}`);
	const answer = await ask({ip, port: ports.front}, {path: '/notes/1', requestId});
	const ids = toIds(answer.body);
	const isComplete = answer.isWhole && answer.status === 200 && answer.body === toStream(requestId, events);
	const isOutOfOrder = answer.status === 200 && ids.some((id, i) => id !== i + 1);
	record(`client gets ${answer.status}${answer.isWhole ? '' : ', cut'}, events ${ids.join(' ')}, for ${requestId}`);
	return {isComplete, isOutOfOrder};
}

async function play() {
	await relay.waitUntilReady();
	const quiet = [];
	for (let i = 0; i < 60; i++) {
		quiet.push(send());
		await sleep(200);
	}

	const before = await Promise.all(quiet);
	const asked = [];
	for (let i = 0; i < 6; i++) {
		asked.push(send());
		await sleep(50);
	}

	await sleep(200);
	if (isTrouble) {
		record('server desk-1 crashes');
		engines[0].crash();
		setTimeout(() => {
			store.remove('servers/desk-1');
		}, 3600);
	}

	const during = await Promise.all(asked);
	const all = [...before, ...during];
	const wrong = all.filter(({isOutOfOrder}) => isOutOfOrder);
	record(`${all.length} streams, ${all.filter(({isComplete}) => isComplete).length} complete, ${wrong.length} with events missing or twice`);
	return wrong.length > 0 ? 1 : (before.every(({isComplete}) => isComplete) ? 0 : 2);
}

let code = 2;
try {
	code = await play();
} catch (error) {
	record(`could not run: ${error.stack}`);
} finally {
	await relay.end();
	await Promise.all([store.close(), ...engines.map(async engine => engine.close())]);
}

process.exit(code);
