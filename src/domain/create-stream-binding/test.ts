import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type StreamOrigin} from '../../ports/stream-origins.js';
import {createStreamBinding, isSameOrigin, toStreamOrigin} from './index.js';

const v1: StreamOrigin = {pool: 'letters', softwareVersion: 'v1'};
const v2: StreamOrigin = {pool: 'letters', softwareVersion: 'v2'};
const unversioned: StreamOrigin = {pool: 'letters', softwareVersion: undefined};
const elsewhere: StreamOrigin = {pool: 'scenes', softwareVersion: 'v1'};

describe('createStreamBinding', () => {
	it('accepts any server until an event may have reached the caller', () => {
		const binding = createStreamBinding();
		for (const origin of [v1, v2, unversioned, elsewhere, undefined]) {
			assert.ok(binding.accepts(origin));
		}

		assert.deepEqual(binding.state(), {kind: 'open'});
	});

	it('accepts only the pool and the software version of the first event from then on', () => {
		const binding = createStreamBinding();
		binding.noteEvent(v1);
		assert.ok(binding.accepts({...v1}));
		for (const origin of [v2, unversioned, elsewhere, undefined]) {
			assert.equal(binding.accepts(origin), false);
		}
	});

	it('is bound once: later events change nothing', () => {
		const binding = createStreamBinding();
		for (const origin of [v1, v1, v2, undefined]) {
			binding.noteEvent(origin);
		}

		assert.deepEqual(binding.state(), {kind: 'bound', origin: v1});
	});

	it('is bound from the start for a request that continues a stream', () => {
		const binding = createStreamBinding(v2);
		assert.ok(binding.accepts(v2));
		assert.equal(binding.accepts(v1), false);
		binding.noteEvent(v2);
		assert.deepEqual(binding.state(), {kind: 'bound', origin: v2});
	});

	it('accepts nothing after events whose origin was not told', () => {
		const binding = createStreamBinding();
		binding.noteEvent(undefined);
		assert.deepEqual(binding.state(), {kind: 'unknown'});
		for (const origin of [v1, v2, unversioned, undefined]) {
			assert.equal(binding.accepts(origin), false);
		}
	});

	it('takes servers without a version for one version of their own', () => {
		const binding = createStreamBinding();
		binding.noteEvent(unversioned);
		assert.ok(binding.accepts(unversioned));
		assert.equal(binding.accepts(v1), false);
	});

	it('never lets a caller hold events of two origins, whatever answers come in which order', () => {
		const origins = [v1, v2, unversioned, elsewhere, undefined];
		fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom(...origins), fc.boolean())), answers => {
			const binding = createStreamBinding();
			const held: Array<StreamOrigin | undefined> = [];
			for (const [origin, hasEvents] of answers) {
				if (binding.accepts(origin) && hasEvents) {
					binding.noteEvent(origin);
					held.push(origin);
				}
			}

			assert.ok(held.length < 2 || held.every(origin => origin !== undefined && isSameOrigin(origin, held[0]!)));
		}));
	});
});

describe('toStreamOrigin', () => {
	it('is the pool and the software version of a server', () => {
		const server = {
			id: 's', zone: 'a', url: 'http://10.0.0.1:1', role: 'decode' as const, pool: 'letters', slots: 8, checksFence: false,
		};
		assert.deepEqual(toStreamOrigin({...server, softwareVersion: 'v1'}), v1);
		assert.deepEqual(toStreamOrigin(server), unversioned);
	});
});
