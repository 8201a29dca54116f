import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {parseFleetList} from './index.js';

const host = {id: 'dvorana-a-1', state: 'live', peerAddress: '10.0.0.1:7401'};

describe('parseFleetList', () => {
	it('parses a valid list', () => {
		const list = {hosts: [host], servers: [{id: 's', state: 'leaving'}]};
		assert.deepEqual(parseFleetList(JSON.stringify(list))._unsafeUnwrap(), list);
	});

	const faults: ReadonlyArray<[name: string, text: string, says: RegExp]> = [
		['truncated text', '{"hosts": [', /not JSON/v],
		['no lists', '{}', /lists "hosts" and "servers"/v],
		['a host without an address', JSON.stringify({hosts: [host, {...host, peerAddress: undefined}], servers: []}), /Item 1 of hosts/v],
		['an unknown state', JSON.stringify({hosts: [], servers: [{id: 's', state: 'gone'}]}), /Item 0 of servers/v],
	];
	for (const [name, text, says] of faults) {
		it(`rejects ${name} and says where the error is`, () => {
			assert.match(parseFleetList(text)._unsafeUnwrapErr().message, says);
		});
	}

	it('never throws', () => {
		fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
			parseFleetList(text);
		}));
	});

	// Guards against an agent that ends, or acts on a part of a list, because of one odd entry in it.
	it('refuses a list with an odd entry as a whole, with the place of the entry (property)', () => {
		fc.assert(fc.property(fc.array(fc.constant(host), {maxLength: 3}), fc.jsonValue(), (hosts, odd) => {
			const parsed = parseFleetList(JSON.stringify({hosts: [...hosts, odd], servers: []}));
			assert.match(parsed._unsafeUnwrapErr().message, new RegExp(`Item ${hosts.length} of hosts`, 'v'));
		}));
	});

	it('refuses values that are nested deeply', () => {
		const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
		for (const text of [nested, `{"hosts": [${nested}], "servers": []}`, `{"hosts": [], "servers": [{"id": ${nested}, "state": "live"}]}`]) {
			assert.ok(parseFleetList(text).isErr());
		}
	});
});
