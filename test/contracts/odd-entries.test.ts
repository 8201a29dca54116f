/** Tests of readers of what other writers leave among the servers' entries. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type PublishedChange} from '../../src/ports/published.js';
import {withStore} from './_lib/with-store.js';

const {signal} = new AbortController();
const encode = (text: string): string => Buffer.from(text).toString('base64');
const proper = {
	service: 's', address: '10.0.0.1:80', zone: 'a', slots: 4, state: 'ready', sequence: 1,
};
const properItem = {key: 'servers/proper', value: encode(JSON.stringify(proper))};

/** Longest entry of a server that is decoded. */
const maxEntryBytes = 65_536;
const maxReasonLength = 310;

const loneSurrogate = '\uD800';

const toNested = (depth: number): string => `${'['.repeat(depth)}${']'.repeat(depth)}`;

/** Values that no server writes. */
const oddTexts: Readonly<Record<string, string>> = {
	'nested deeply': toNested(30_000),
	'nested deeply in a field': JSON.stringify({...proper, zone: 0}).replace('0}', `${toNested(20_000)}}`),
	'a number too large': JSON.stringify(proper).replace('4,', '1e400,'),
	'a number that is not exact': JSON.stringify({...proper, slots: 2 ** 53}),
	'a number with many digits': JSON.stringify(proper).replace('4,', `${'9'.repeat(5000)},`),
	'a port out of range': JSON.stringify({...proper, address: '10.0.0.1:65536'}),
	'port 0': JSON.stringify({...proper, address: '10.0.0.1:0'}),
	'a negative port': JSON.stringify({...proper, address: '10.0.0.1:-1'}),
	'a port in hexadecimal digits': JSON.stringify({...proper, address: '10.0.0.1:0x50'}),
	'a long name': JSON.stringify({...proper, version: 'v'.repeat(60_000)}),
	'a long state': JSON.stringify({...proper, state: 's'.repeat(60_000)}),
	'a prototype': '{"__proto__": {"service": "s"}}',
	'no text': '\uFFFD\u0000',
	nothing: '',
};

const toNames = (changes: readonly PublishedChange[]): string[] => changes.flatMap(change => change.kind === 'server' ? [change.server.name] : []);

async function readItems(items: readonly unknown[]): Promise<readonly PublishedChange[]> {
	const body = {items, truncated: false, current_rev: 1};
	const read = await withStore([{body}], async source => source.list(signal));
	return read._unsafeUnwrap().changes;
}

// Guards against a host that ends, or stops following the servers, because of one odd entry among theirs.
describe('an odd entry among those of the servers', () => {
	for (const [what, text] of Object.entries(oddTexts)) {
		it(`is refused alone, with a short reason: ${what}`, async () => {
			const changes = await readItems([{key: 'servers/odd', value: encode(text)}, properItem]);
			assert.deepEqual(toNames(changes), ['proper']);
			const [odd] = changes;
			assert.ok(odd?.kind === 'unreadable-server' && odd.name === 'odd');
			assert.ok(odd.reason.length <= maxReasonLength);
		});
	}

	it('is not decoded if it is longer than any server\'s', async () => {
		const [atLimit, over] = [maxEntryBytes, maxEntryBytes + 3].map(length => JSON.stringify({...proper, padding: ''}).replace('""', `"${'x'.repeat(length - JSON.stringify({...proper, padding: ''}).length)}"`));
		const changes = await readItems([{key: 'servers/long', value: encode(atLimit!)}, {key: 'servers/over', value: encode(over!)}]);
		assert.deepEqual(toNames(changes), ['long']);
		assert.deepEqual(changes[1], {kind: 'unreadable-server', name: 'over', reason: 'the entry is longer than 65536 bytes'});
	});

	const keys = fc.oneof(fc.string(), fc.constantFrom('', 'servers/', 'servers/__proto__', `servers/${loneSurrogate}`, loneSurrogate, 'servers/i\n1', `servers/${'k'.repeat(200_000)}`));
	const items = fc.oneof(
		fc.jsonValue(),
		fc.record({key: keys, value: fc.oneof(fc.jsonValue(), fc.base64String(), fc.json().map(text => encode(text)))}, {requiredKeys: []}),
	);

	it('keeps no other entry from being read, whatever it is (property)', async () => {
		await fc.assert(fc.asyncProperty(fc.array(items, {maxLength: 5}), fc.nat(5), async (odd, at) => {
			const changes = await readItems(odd.toSpliced(at, 0, properItem));
			assert.ok(toNames(changes).includes('proper'));
		}), {numRuns: 30});
	});

	it('keeps no change from being read, whatever it is (property)', async () => {
		await fc.assert(fc.asyncProperty(fc.array(items, {maxLength: 5}), async odd => {
			const read = await withStore([{body: {events: [...odd, properItem], current_rev: 2}}], async source => source.watch({era: undefined, revision: 1}, 1, signal));
			assert.deepEqual(toNames(read._unsafeUnwrap().changes).slice(-1), ['proper']);
		}), {numRuns: 30});
	});
});

// Guards against a process that ends, or a list that is read forever, because a page ends with a key that no URL can contain.
describe('a key that no URL can contain', () => {
	const odd = {key: `servers/${loneSurrogate}`, value: encode('{}')};

	it('is passed over at the end of a page: the next page begins after the key before it', async () => {
		const pages = [{items: [properItem, odd], truncated: true, current_rev: 1}, {items: [odd, {...properItem, key: 'servers/second'}], truncated: false, current_rev: 1}];
		const [read, targets] = await withStore(pages.map(body => ({body})), async (source, sent) => [await source.list(signal), sent] as const);
		assert.deepEqual(toNames(read._unsafeUnwrap().changes), ['proper', 'second']);
		assert.ok(targets[1]!.endsWith('after=servers%2Fproper'));
	});

	it('ends the list with a failure if a page has no other', async () => {
		const body = {items: [odd], truncated: true, current_rev: 1};
		const read = await withStore([{body}, {body}], async source => source.list(signal));
		assert.equal(read._unsafeUnwrapErr().kind, 'invalid');
	});
});
