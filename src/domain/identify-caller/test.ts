import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {identifyCaller} from './index.js';

const tokens = {[createHash('sha256').update('t1').digest('hex')]: 'naslovnik'};

describe('identifyCaller', () => {
	const cases: ReadonlyArray<[string, Record<string, string>, Record<string, string>, string | RegExp]> = [
		['takes x-workspace when no tokens are configured', {'x-workspace': 'glossworks'}, {}, 'glossworks'],
		['uses the anonymous workspace without x-workspace and tokens', {}, {}, 'anonymous'],
		['takes the token\'s workspace', {authorization: 'Bearer t1'}, tokens, 'naslovnik'],
		['accepts x-workspace that agrees', {authorization: 'bearer t1', 'x-workspace': 'naslovnik'}, tokens, 'naslovnik'],
		['refuses x-workspace that disagrees', {authorization: 'Bearer t1', 'x-workspace': 'glossworks'}, tokens, /another workspace/v],
		['refuses a missing token', {'x-workspace': 'naslovnik'}, tokens, /Send a caller token/v],
		['refuses an unknown token', {authorization: 'Bearer t2'}, tokens, /not known/v],
		['refuses another scheme', {authorization: 'Basic t1'}, tokens, /Send a caller token/v],
	];
	for (const [name, headers, callerTokens, expected] of cases) {
		it(name, () => {
			const result = identifyCaller(headers, callerTokens);
			if (typeof expected === 'string') {
				assert.equal(result._unsafeUnwrap(), expected);
			} else {
				assert.match(result._unsafeUnwrapErr(), expected);
			}
		});
	}
});
