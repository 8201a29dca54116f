import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {err, ok, type Result} from 'neverthrow';
import {type PeerFailure} from '../../../adapters/peer-tcp/index.js';
import {askSeeds} from './ask-seeds.js';
import {type HostVersions} from './peer-messages.js';

const toFailure = (kind: PeerFailure['kind']): PeerFailure => ({kind, sent: true, message: `call ${kind}`});
const versions = (host: string): HostVersions => ({
	host, config: {edition: 0, revision: 1, digest: 'd'}, fleet: undefined, confirmedAgeMs: 5,
});

/** Asks seeds that give these replies in order, and records calls, reports and failures. */
async function ask(replies: Readonly<Record<string, ReadonlyArray<Result<unknown, PeerFailure>>>>) {
	const calls: string[] = [];
	const heard: string[] = [];
	const failures: string[] = [];
	await askSeeds({
		seeds: Object.keys(replies),
		async call(address, method) {
			assert.equal(method, 'versions');
			calls.push(address);
			return replies[address]![calls.filter(other => other === address).length - 1]!;
		},
		onVersions(from) {
			heard.push(from);
		},
		onFailure(address, reason) {
			failures.push(`${address}: ${reason}`);
		},
		signal: new AbortController().signal,
	});
	return {calls, heard, failures};
}

describe('askSeeds', () => {
	it('reports the versions of each seed', async () => {
		const {calls, heard, failures} = await ask({one: [ok(versions('a-1'))], two: [ok(versions('b-1'))]});
		assert.deepEqual([calls, heard, failures], [['one', 'two'], ['a-1', 'b-1'], []]);
	});

	it('tries a seed a second time that did not answer', async () => {
		const {calls, heard, failures} = await ask({one: [err(toFailure('timed-out')), ok(versions('a-1'))]});
		assert.deepEqual([calls, heard, failures], [['one', 'one'], ['a-1'], ['one: call timed-out']]);
	});

	it('ends after two tries, with the reason of each', async () => {
		const {calls, heard, failures} = await ask({one: [err(toFailure('unreachable')), err(toFailure('broken'))]});
		assert.deepEqual([calls, heard, failures], [['one', 'one'], [], ['one: call unreachable', 'one: call broken']]);
	});

	const answers = [
		{name: 'lacks the call', reply: err(toFailure('failed')), reason: 'call failed'},
		{name: 'answers with something else', reply: ok({host: 'a-1', config: 'newest'}), reason: 'the reply is malformed'},
	];
	for (const {name, reply, reason} of answers) {
		it(`counts a seed that ${name} as asked`, async () => {
			const {calls, heard, failures} = await ask({one: [reply]});
			assert.deepEqual([calls, heard, failures], [['one'], [], [`one: ${reason}`]]);
		});
	}
});
