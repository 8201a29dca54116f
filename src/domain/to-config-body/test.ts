import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {addPlainEnd} from '../../_lib/split-config-end/index.js';
import {toConfigBody} from './index.js';

describe('toConfigBody', () => {
	it('writes JSON that parses back to the same values', () => {
		const values = fc.dictionary(fc.string().filter(key => !['edition', 'follows', 'end', '__proto__'].includes(key)), fc.jsonValue(), {minKeys: 1});
		fc.assert(fc.property(values, value => {
			const {end, ...rest} = JSON.parse(addPlainEnd(toConfigBody(value), 'json')) as Record<string, unknown>;
			assert.equal(JSON.stringify(rest), JSON.stringify(value));
		}));
	});

	it('writes one entry per line and leaves out the old end', () => {
		assert.equal(toConfigBody({rules: [{name: 'a'}, {name: 'b'}], edition: 3, end: 'banyanport'}), '{\n"rules": [\n{"name":"a"},\n{"name":"b"}\n]');
	});
});
