import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {pickNearestName} from './index.js';

describe('pickNearestName', () => {
	const known = ['--bind', '--zone', '--caller-port', '--peer-port'];
	const rows: Array<[string, string | undefined]> = [
		['--bnd', '--bind'],
		['--ZONE', '--zone'],
		['--caler-prt', '--caller-port'],
		['--colour', undefined],
		['', undefined],
	];
	for (const [name, expected] of rows) {
		it(`finds ${expected ?? 'nothing'} for '${name}'`, () => {
			assert.equal(pickNearestName(name, known), expected);
		});
	}
});
