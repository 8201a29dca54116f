import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type OriginMessage, type StreamOrigin} from '../../ports/stream-origins.js';
import {createStreamOrigins, type StreamOriginsTable} from './index.js';

const v1: StreamOrigin = {pool: 'letters', softwareVersion: 'v1'};
const v2: StreamOrigin = {pool: 'letters', softwareVersion: 'v2'};
const lifeMs = 30_000;

/** Hosts whose messages arrive at once, unless the target is down. */
function createHosts(names: readonly string[]) {
	const tables = new Map<string, StreamOriginsTable>();
	const sent: Array<{from: string; to: string; message: OriginMessage}> = [];
	let isLost: (sent: {from: string; to: string; message: OriginMessage}) => boolean = () => false;

	function start(name: string): void {
		tables.set(name, createStreamOrigins({
			pickKeepers: () => names.filter(other => other !== name),
			send(message, to) {
				sent.push({from: name, to, message});
				if (!isLost({from: name, to, message})) {
					tables.get(to)?.receive(message, name, 0);
				}
			},
		}));
	}

	for (const name of names) {
		start(name);
	}

	return {
		of: (name: string) => tables.get(name)!,
		start,
		stop(name: string) {
			tables.delete(name);
		},
		lose(next: typeof isLost) {
			isLost = next;
		},
		sent,
	};
}

/** Finds an origin; `unsettled` if the search has not ended by a time. */
function find(table: StreamOriginsTable, key: string, now: number, until = now): StreamOrigin | undefined | 'unsettled' {
	let found: StreamOrigin | undefined | 'unsettled' = 'unsettled';
	table.find(key, now, origin => {
		found = origin;
	});
	for (let at = now; at <= until; at += 10) {
		table.tick(at);
	}

	return found;
}

describe('createStreamOrigins', () => {
	it('finds on any host where a stream began, also after the host on which it began is lost', () => {
		const hosts = createHosts(['a', 'b', 'c']);
		hosts.of('a').note({key: 'k', origin: v1, lifeMs}, 0);
		hosts.stop('a');
		assert.deepEqual(find(hosts.of('b'), 'k', 10), v1);
		assert.deepEqual(find(hosts.of('c'), 'k', 10), v1);
	});

	it('asks keepers when it has no record itself', () => {
		const hosts = createHosts(['a', 'b', 'c']);
		hosts.of('a').note({key: 'k', origin: v1, lifeMs}, 0);
		hosts.start('b');
		assert.deepEqual(find(hosts.of('b'), 'k', 10), v1);
	});

	it('is unknown as soon as all keepers have answered that they have no record', () => {
		const hosts = createHosts(['a', 'b', 'c']);
		assert.equal(find(hosts.of('b'), 'k', 0), undefined);
	});

	it('is unknown at once on a host that knows no other', () => {
		assert.equal(find(createHosts(['a']).of('a'), 'k', 0), undefined);
	});

	// Guards against a stream that is refused although a keeper knows it, because another keeper that has just started does not.
	it('goes by the keeper that knows, not by those that have just started', () => {
		const hosts = createHosts(['a', 'b', 'c', 'd']);
		hosts.of('a').note({key: 'k', origin: v1, lifeMs}, 0);
		hosts.stop('a');
		for (const name of ['b', 'c']) {
			hosts.start(name);
		}

		assert.deepEqual(find(hosts.of('b'), 'k', 10, 300), v1);
	});

	it('asks again when an answer is lost, and gives up after two tries', () => {
		const hosts = createHosts(['a', 'b']);
		hosts.of('a').note({key: 'k', origin: v1, lifeMs}, 0);
		hosts.start('b');
		let lost = 1;
		hosts.lose(({message}) => message.kind === 'ask' && lost-- > 0);
		assert.deepEqual(find(hosts.of('b'), 'k', 10, 150), v1);
		hosts.lose(() => true);
		hosts.start('b');
		assert.equal(find(hosts.of('b'), 'k', 10, 100), 'unsettled');
		assert.equal(find(hosts.of('b'), 'k', 10, 250), undefined);
	});

	it('sends a keeper that has started anew the records that it lost', () => {
		const hosts = createHosts(['a', 'b', 'c']);
		for (let i = 0; i < 20; i++) {
			hosts.of('a').note({key: `k${i}`, origin: v1, lifeMs}, 0);
		}

		hosts.start('b');
		hosts.sent.length = 0;
		hosts.of('a').noteStarted('b', 100);
		const batches = hosts.sent.map(({to, message}) => ({to, keys: message.kind === 'records' ? message.records.map(({key}) => key) : []}));
		assert.ok(batches.every(({to, keys}) => to === 'b' && keys.length <= 8));
		assert.deepEqual(batches.flatMap(({keys}) => keys), Array.from({length: 20}, (_, i) => `k${i}`));
		hosts.stop('a');
		hosts.stop('c');
		assert.deepEqual(find(hosts.of('b'), 'k19', 200), v1);
	});

	it('sends a keeper that has started anew only what it keeps, and only of the last seconds', () => {
		const sent: string[] = [];
		const table = createStreamOrigins({
			pickKeepers: key => [key === 'of-c' ? 'c' : 'b'],
			send(message, to) {
				sent.push(...(message.kind === 'records' ? message.records.map(({key}) => `${key} to ${to}`) : []));
			},
		});
		for (const [key, at] of [['old', 0], ['of-c', 15_000], ['new', 15_000]] as const) {
			table.note({key, origin: v1, lifeMs}, at);
		}

		sent.length = 0;
		table.noteStarted('b', 19_999);
		assert.deepEqual(sent, ['old to b', 'new to b']);
		sent.length = 0;
		table.noteStarted('b', 20_000);
		assert.deepEqual(sent, ['new to b']);
	});

	it('asks nobody for a stream that it knows, and asks no more once a keeper has told', () => {
		const hosts = createHosts(['a', 'b', 'c']);
		hosts.of('a').note({key: 'k', origin: v1, lifeMs}, 0);
		hosts.sent.length = 0;
		assert.deepEqual(find(hosts.of('b'), 'k', 10), v1);
		assert.equal(hosts.sent.length, 0);
		hosts.start('b');
		hosts.stop('c');
		assert.deepEqual(find(hosts.of('b'), 'k', 10, 500), v1);
		assert.equal(hosts.sent.filter(({message}) => message.kind === 'ask').length, 2);
	});

	it('drops what has outlived its life when a record is added', () => {
		const table = createStreamOrigins({pickKeepers: () => [], send: () => undefined});
		table.note({key: 'k', origin: v1, lifeMs}, 0);
		table.note({key: 'j', origin: v1, lifeMs}, lifeMs);
		assert.equal(table.size(), 1);
	});

	it('forgets a record after its life, which lasts longer when the stream goes on', () => {
		const hosts = createHosts(['a', 'b']);
		hosts.of('a').note({key: 'k', origin: v1, lifeMs}, 0);
		hosts.of('a').note({key: 'j', origin: v1, lifeMs}, 0);
		hosts.of('a').note({key: 'j', origin: v1, lifeMs}, lifeMs - 1);
		hosts.stop('b');
		assert.equal(find(hosts.of('a'), 'k', lifeMs, lifeMs + 300), undefined);
		assert.deepEqual(find(hosts.of('a'), 'j', lifeMs), v1);
	});

	// Guards against a caller that uses one request id for two streams, whose parts would be joined.
	it('is unknown when two streams of different origins have the same key', () => {
		const hosts = createHosts(['a', 'b', 'c']);
		hosts.of('a').note({key: 'k', origin: v1, lifeMs}, 0);
		hosts.of('b').note({key: 'k', origin: v2, lifeMs}, 0);
		for (const name of ['a', 'b', 'c']) {
			assert.equal(find(hosts.of(name), 'k', 10), undefined);
		}
	});

	// Guards against memory that grows with the request ids that a caller makes up.
	it('keeps no more records than the bound, the newest ones', () => {
		const table = createStreamOrigins({pickKeepers: () => [], send: () => undefined, maxRecords: 100});
		for (let i = 0; i < 1000; i++) {
			table.note({key: `k${i}`, origin: v1, lifeMs}, 0);
		}

		assert.equal(table.size(), 100);
		assert.equal(find(table, 'k0', 1), undefined);
		assert.deepEqual(find(table, 'k999', 1), v1);
	});
});
