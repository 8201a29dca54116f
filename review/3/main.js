/**
 * A model server sends one answer a second time, where the next answer is expected.
 * The next call on that connection is a reservation, which has no request id.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	askStream, newId, toConfig, toStreamRoute,
} from '../lib/client.js';
import {pickHosts, startRelay, toSettings} from '../lib/deploy.js';
import {startEngine, toStream} from '../lib/engine.js';
import {createRecord} from '../lib/record.js';
import {startStore} from '../lib/store.js';

const isTrouble = process.env.TROUBLE !== '0';
const record = createRecord(import.meta.dirname);
const events = 12;
/** Time in which a model server answers a reservation. */
const controlMs = 25;
/** Requests for each answer that is sent twice: 0.03 of the answers at most. */
const requestsOfRound = 40;
const rounds = 4;
/** The decode call of the request sent so long after the first falls into the time of the next reservation. */
const thirdAfterMs = 155;

/** Id of the request whose answer is sent twice. */
let repeated;
/** Whether the model server has no room for the reservation after the extra answer; so in the last round. */
let isFull = false;
let round = 0;
const runs = new Set();

const store = await startStore();
store.put('op/config', toConfig(1, {routes: [toStreamRoute('scene-dialogue', '/scene/')]}));
const shared = {
	events, stepMs: 10, prefillMs: 105, controlMs,
	onRun({id, requestId}) {
		runs.add(requestId);
		record(`server ${id} runs ${requestId}`);
		return {
			end(how) {
				record(`server ${id} ends the run of ${requestId}: ${how}`);
			},
		};
	},
	hasRoom() {
		const isRefused = isFull;
		isFull = false;
		return !isRefused;
	},
	toExtra: ({requestId}) => isTrouble && requestId === repeated,
	onControl({id, requestId, before}) {
		record(`server ${id} sends its answer to ${requestId} once more, before that to ${before}`);
		isFull = round === rounds;
	},
};
const engines = await Promise.all([
	...[1, 2].map(async i => startEngine({...shared, id: `prefill-${i}`, stage: 'prefill'})),
	...[1].map(async i => startEngine({...shared, id: `decode-${i}`, stage: 'decode'})),
]);
for (const engine of engines) {
	store.put(`servers/${engine.id}`, engine.toEntry());
}

const {ips: [ip], ports} = await pickHosts(1);
const relay = await startRelay(toSettings({
	index: 1, ip, ports, zone: 'a', zones: {a: 'r', b: 'r'}, seeds: [], platform: store.address,
}));
let broken = 0;
let refused = 0;
let served = 0;
let sent = 0;

async function send(requestId = newId()) {
	sent++;
	record(`client sends ${requestId}`);
	const answer = await askStream({ip, port: ports.front}, {path: '/scene/1', requestId});
	const isSuccess = answer.status >= 200 && answer.status < 300;
	record(`client gets ${answer.status}${answer.isWhole ? '' : ', cut'}, seal ${answer.headers['server-seal'] ?? 'none'}, ${answer.body.length} bytes, for ${requestId}`);
	const isWrong = isSuccess && (answer.headers['server-seal']?.endsWith(`.${requestId}`) !== true || (answer.isWhole && answer.body !== toStream(requestId, events)));
	if (isWrong) {
		broken++;
		record(`MIXED: ${requestId} is answered with ${JSON.stringify(answer.body.slice(0, 200))}`);
	}

	if (answer.status === 503 && runs.has(requestId)) {
		refused++;
		record(`REFUSED: ${requestId} is answered 503 and has run`);
	}

	served += isSuccess && !isWrong && answer.isWhole ? 1 : 0;
}

async function playRound() {
	for (let i = 0; i < requestsOfRound; i++) {
		void send();
		await sleep(250);
	}

	await sleep(1000);
	repeated = newId();
	const first = send(repeated);
	await sleep(thirdAfterMs);
	const third = send();
	await first;
	await sleep(20);
	await Promise.all([send(), third]);
}

let code = 2;
try {
	await relay.waitUntilReady();
	await sleep(1000);
	while (round < rounds) {
		round++;
		await playRound();
	}

	await sleep(1000);
	record(`${sent} sent, ${served} served whole, ${broken} answered with other bytes than their own, ${refused} answered 503 and run`);
	code = broken + refused > 0 ? 1 : (served > sent / 2 ? 0 : 2);
} catch (error) {
	record(`could not run: ${error.stack}`);
} finally {
	await relay.end();
	await Promise.all([store.close(), ...engines.map(async engine => engine.close())]);
}

process.exit(code);
