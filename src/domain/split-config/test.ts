import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toYamlDocument} from '../_test/documents.js';
import {toFleetConfig} from '../_test/to-fleet-config.js';
import {toConfigText} from '../to-config-text/index.js';
import {splitConfig} from './index.js';

describe('splitConfig', () => {
	it('keeps the last rule in the root and names parts by section and order', () => {
		const {root, parts} = splitConfig(toConfigText(toFleetConfig(24, 9)), (_, position) => position % 10 === 0)._unsafeUnwrap();
		assert.deepEqual(parts.map(({name}) => name), ['hosts-001', 'servers-001', 'rules-001', 'rules-002', 'rules-003']);
		assert.ok(root.includes('everything else') && !root.includes('"r0"'));
	});

	it('makes no part for the only rule, nor for an empty list of hosts', () => {
		const {parts} = splitConfig(toYamlDocument(), () => true)._unsafeUnwrap();
		assert.deepEqual(parts.map(({name}) => name), ['servers-001']);
	});

	it('reports the faults of an invalid document', () => {
		assert.ok(splitConfig('zones: []\n', () => true).isErr());
	});
});
