import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {decode, encode} from 'cbor-x';
import fc from 'fast-check';
import {findUdpAddress} from '../../../test/_lib/find-udp-address/index.js';
import {type LoadMessage} from '../../ports/shared-loads.js';
import {
	decodeLoadMessage, encodeLoadMessage, maxDatagramBytes, openLoadDatagrams, splitLoadMessage,
} from './index.js';

const message: LoadMessage = {
	host: 'front-a-1',
	zone: 'a',
	incarnation: 1_780_000_000_000,
	sequence: 7,
	loads: [{server: 'i-1', requests: 2, promptTokens: 6400}],
	crashes: [{fingerprint: 'bXkgZmlyc3Qg', idleMs: 20, crashes: [{server: 'i-1', ageMs: 20}, {server: 'i-2@1780000000000', ageMs: 900}]}, {
		fingerprint: 'c2Vjb25kIG9u', idleMs: 30, crashes: [], survivedMs: 40,
	}],
	peers: [{address: '10.0.0.2:7380', zone: 'b'}],
	isAsking: true,
};

describe('load messages', () => {
	it('are the same after encoding and decoding', () => {
		assert.deepEqual(decodeLoadMessage(encodeLoadMessage(message))._unsafeUnwrap(), message);
	});

	it('keep the pools whose servers answered, with and without the share of hosts that the sender reaches', () => {
		for (const more of [{answers: [{pool: 4_000_000_000, ageMs: 12}]}, {answers: [], reachedShare: 0.5}]) {
			assert.deepEqual(decodeLoadMessage(encodeLoadMessage({...message, ...more}))._unsafeUnwrap(), {...message, ...more});
		}
	});

	it('keep the limits of servers and their ends, with and without what comes before them', () => {
		const limits = [{server: 'i-1', perSecond: 4.8, ageMs: 20}, {server: 'i-2', perSecond: undefined, ageMs: 900}];
		for (const more of [{limits}, {limits, answers: []}, {limits, reachedShare: 0.5, answers: [{pool: 7, ageMs: 12}]}]) {
			assert.deepEqual(decodeLoadMessage(encodeLoadMessage({...message, ...more}))._unsafeUnwrap(), {...message, ...more});
		}
	});

	it('keep crashes by parts of prompts, with and without what comes before them', () => {
		const partCrashes = [
			...['a@LMB3un', 'b@LMB3un'].map(fingerprint => ({fingerprint, idleMs: 20, crashes: [{server: 'i-1', ageMs: 20}]})),
			{fingerprint: 'c@LMB3un', idleMs: 5, crashes: [{server: 'i-1', ageMs: 20}, {server: 'i-2', ageMs: 900}]},
			{
				fingerprint: 'd@LMB3un', idleMs: 20, crashes: [{server: 'i-1', ageMs: 20}], survivedMs: 40,
			},
		];
		for (const more of [{partCrashes}, {partCrashes, limits: [{server: 'i-1', perSecond: 4.8, ageMs: 20}]}]) {
			assert.deepEqual(decodeLoadMessage(encodeLoadMessage({...message, ...more}))._unsafeUnwrap(), {...message, ...more});
		}
	});

	it('keep a question for all that is known, and the marks of an answer', () => {
		const answer = {
			kind: 'answer', id: 3, part: 1, parts: 2, knowledge: 'behind',
		} as const;
		for (const catchUp of [{kind: 'ask', id: 3} as const, answer]) {
			assert.deepEqual(decodeLoadMessage(encodeLoadMessage({...message, catchUp}))._unsafeUnwrap(), {...message, catchUp});
		}
	});

	// Guards against reports that are cut off because they do not fit into one datagram, on a host that starts and asks for all.
	it('are split so that no report is cut off', () => {
		const toReports = (kind: string, count: number) => Array.from({length: count}, (_, i) => ({
			fingerprint: `${kind}-${i}`, idleMs: 20, crashes: Array.from({length: 1 + (i % 8)}, (_, n) => ({server: `server-with-a-long-name-${n}@1780000000000`, ageMs: 900 + n})),
		}));
		const whole = {...message, crashes: toReports('request', 100), partCrashes: toReports('part', 60)};
		const received = splitLoadMessage(whole).map(part => decodeLoadMessage(encodeLoadMessage(part))._unsafeUnwrap());
		assert.deepEqual(received.flatMap(({crashes}) => crashes), whole.crashes);
		assert.deepEqual(received.flatMap(({partCrashes}) => partCrashes ?? []).map(({fingerprint}) => fingerprint).toSorted(), whole.partCrashes.map(({fingerprint}) => fingerprint).toSorted());
		assert.equal(splitLoadMessage(message).length, 1);
	});

	it('name a server once for all parts of which it is the only crash, and keep the first parts that fit', () => {
		const partCrashes = Array.from({length: 500}, (_, i) => ({fingerprint: `${i}@LMB3un`, idleMs: 20, crashes: [{server: 'i-1', ageMs: 20}]}));
		const bytes = encodeLoadMessage({...message, partCrashes: partCrashes.slice(0, 48)});
		assert.ok(bytes.length < 48 * 16);
		const decoded = decodeLoadMessage(encodeLoadMessage({...message, partCrashes}))._unsafeUnwrap();
		assert.deepEqual(decoded.partCrashes?.slice(0, 40), partCrashes.slice(0, 40));
	});

	it('leave out crashes by parts that are not valid', () => {
		const row = decode(encodeLoadMessage(message)) as unknown[];
		for (const parts of [[[['i-1', -1, ['a']]], []], [[], [['a', 5, [['i-1', 20]], 'x']]], 'nonsense', [[['i-1', 20, ['x'.repeat(65)]]], []]]) {
			assert.equal(decodeLoadMessage(encode([...row, null, null, null, parts]))._unsafeUnwrap().partCrashes, undefined);
		}
	});

	it('fit into one datagram, however much a host has in flight, and keep the largest loads', () => {
		const loads = Array.from({length: 500}, (_, i) => ({server: `i-${i}`, requests: 1, promptTokens: i}));
		const bytes = encodeLoadMessage({...message, loads});
		assert.ok(bytes.length <= maxDatagramBytes);
		const decoded = decodeLoadMessage(bytes)._unsafeUnwrap();
		assert.ok(decoded.loads.some(({server}) => server === 'i-499'));
	});

	it('keep the first crash reports, and drop loads before reports', () => {
		const loads = Array.from({length: 500}, (_, i) => ({server: `i-${i}`, requests: 1, promptTokens: i}));
		const crashes = Array.from({length: 40}, (_, i) => ({fingerprint: `fingerprint-${i}`, idleMs: 5000, crashes: [1, 2, 3].map(n => ({server: `i-93770e37e${n}`, ageMs: 5000}))}));
		const bytes = encodeLoadMessage({...message, loads, crashes});
		assert.ok(bytes.length <= maxDatagramBytes);
		const decoded = decodeLoadMessage(bytes)._unsafeUnwrap();
		assert.deepEqual(decoded.crashes, crashes.slice(0, decoded.crashes.length));
		assert.ok(decoded.crashes.length >= 10, String(decoded.crashes.length));
	});

	it('decode to an error, and never throw, when the bytes are anything else', () => {
		fc.assert(fc.property(fc.oneof(fc.uint8Array(), fc.anything().map(value => {
			try {
				return encode(value);
			} catch {
				return new Uint8Array();
			}
		}), fc.array(fc.jsonValue()).map(rest => encode([3, 'h', 'z', ...rest]))), bytes => {
			assert.equal(typeof decodeLoadMessage(bytes).isOk(), 'boolean');
		}));
	});

	it('reach another host with their source address; an invalid datagram is reported', async () => {
		const [one, other] = await Promise.all([findUdpAddress(), findUdpAddress()]);
		const heard: Array<{host: string; from: string}> = [];
		const faults: string[] = [];
		const toOptions = (address: string) => ({
			address,
			onMessage({host}: LoadMessage, from: string) {
				heard.push({host, from});
			},
			onFault(reason: string) {
				faults.push(reason);
			},
		});
		const [a, b] = await Promise.all([openLoadDatagrams(toOptions(one)), openLoadDatagrams(toOptions(other))]);
		const stray = createSocket('udp4');
		try {
			for (let i = 0; i < 50 && (heard.length === 0 || faults.length === 0); i++) {
				a.send(message, [other]);
				stray.send('nonsense', Number(one.split(':')[1]), '127.0.0.1');
				await sleep(20);
			}

			assert.deepEqual(heard[0], {host: 'front-a-1', from: one});
			assert.ok(faults.length > 0);
		} finally {
			stray.close();
			await Promise.all([a.close(), b.close()]);
		}
	});
});
