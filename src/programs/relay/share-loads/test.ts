import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {createLog} from '../../../adapters/log/index.js';
import {createPartQuarantine} from '../../../domain/create-part-quarantine/index.js';
import {createCrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {findUdpAddress} from '../../../../test/_lib/find-udp-address/index.js';
import {waitUntil} from '../../../../test/_lib/wait-until/index.js';
import {type LoadMessage} from '../../../ports/shared-loads.js';
import {shareLoads, type LoadExchange, type ShareLoadsOptions} from './index.js';

const deadlineMs = 10_000;
const clock = {now: () => performance.now(), wallNow: () => Date.now()};
const log = createLog({
	level: 'error', program: 'test', host: 'h', zone: 'z', incarnation: 1, sink: {write: () => true, writableLength: 0, on: () => undefined},
});

let hosts: LoadExchange[] = [];

async function startHost(name: string, address: string, seeds: readonly string[]): Promise<LoadExchange> {
	const host = await shareLoads({
		address, seeds, host: name, zone: 'z', incarnation: 1, clock, log, suspects: createCrashSuspects(), partQuarantine: createPartQuarantine(),
	});
	hosts.push(host);
	return host;
}

/*
 * Three hosts start, of which one is a seed, and one is lost later. Each must learn
 * the loads of all others, including hosts that are no seed, and drop the loads of
 * the lost host; otherwise it would keep its own requests away from idle servers.
 */
describe('shareLoads', () => {
	afterEach(async () => {
		await Promise.all(hosts.map(async host => host.close()));
		hosts = [];
	});

	it('finds hosts that only its peers know, and drops the loads of one that fell silent', async () => {
		const [first, second, third] = await Promise.all([findUdpAddress(), findUdpAddress(), findUdpAddress()]);
		const seeds = [first, '127.0.0.1:9'];
		const a = await startHost('a', first, seeds);
		const b = await startHost('b', second, seeds);
		const c = await startHost('c', third, seeds);
		const speak = (isLost: boolean) => {
			a.tick([{server: 's', requests: 1, promptTokens: 100}]);
			b.tick([{server: 's', requests: 2, promptTokens: 0}]);
			if (!isLost) {
				c.tick([{server: 's', requests: 4, promptTokens: 0}]);
			}
		};

		const readAll = (isLost: boolean) => {
			speak(isLost);
			return [a, b, c].map(host => host.read('s', clock.now()).requests).join(' ');
		};

		await waitUntil(() => readAll(false) === '6 5 3', {deadlineMs, what: 'all to hear of all'});
		assert.equal(b.read('s', clock.now()).promptTokens, 100);
		await waitUntil(() => readAll(true).startsWith('2 1'), {deadlineMs, what: 'the silent host to be forgotten'});
	});

	// Guards against loads of a host that are forgotten because it asks others for what they know.
	it('keeps the loads of a host that asks, and answers it at once', async () => {
		const sent: LoadMessage[] = [];
		let receive: Parameters<NonNullable<ShareLoadsOptions['open']>>[0]['onMessage'] | undefined;
		const host = await shareLoads({
			address: '10.0.0.1:7380',
			seeds: [],
			host: 'a',
			zone: 'z',
			incarnation: 1,
			clock,
			log,
			suspects: createCrashSuspects(),
			partQuarantine: createPartQuarantine(),
			async open({onMessage}) {
				receive = onMessage;
				return {
					send(message) {
						sent.push(message);
					},
					sendQuota: () => undefined,
					sendPlace: () => undefined,
					sendOrigin: () => undefined,
					close: async () => undefined,
				};
			},
		});
		const message: LoadMessage = {
			host: 'b', zone: 'z', incarnation: 1, sequence: 1, loads: [{server: 's', requests: 2, promptTokens: 0}], crashes: [], peers: [], isAsking: false,
		};
		receive!(message, '10.0.0.2:7380');
		receive!({
			...message, sequence: 2, loads: [], catchUp: {kind: 'ask', id: 9},
		}, '10.0.0.2:7380');
		assert.equal(host.read('s', clock.now()).requests, 2);
		assert.deepEqual(sent.map(({catchUp}) => catchUp).filter(note => note?.kind === 'answer').map(({id}) => id), [9]);
	});
});
