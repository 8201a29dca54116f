import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {identifyCaller, type CallerFault, type CallerKeys} from './index.js';

const callerTokens = {[createHash('sha256').update('t1').digest('hex')]: 'naslovnik'};
const open = {callerTokens: {}};
const closed = {callerTokens};

describe('identifyCaller', () => {
	const identified: ReadonlyArray<[string, Record<string, string>, CallerKeys, {workspace: string; isAuthenticated: boolean}]> = [
		['takes x-workspace when no keys are configured', {'x-workspace': 'glossworks'}, open, {workspace: 'glossworks', isAuthenticated: false}],
		['uses the anonymous workspace without x-workspace and keys', {}, open, {workspace: 'anonymous', isAuthenticated: false}],
		['takes the key\'s workspace', {authorization: 'Bearer t1'}, closed, {workspace: 'naslovnik', isAuthenticated: true}],
		['accepts x-workspace that agrees', {authorization: 'bearer t1', 'x-workspace': 'naslovnik'}, closed, {workspace: 'naslovnik', isAuthenticated: true}],
	];
	for (const [name, headers, keys, expected] of identified) {
		it(name, () => {
			assert.deepEqual(identifyCaller(headers, keys)._unsafeUnwrap(), expected);
		});
	}

	const refused: ReadonlyArray<[string, Record<string, string>, CallerKeys, CallerFault['kind'], RegExp]> = [
		['refuses x-workspace that disagrees', {authorization: 'Bearer t1', 'x-workspace': 'glossworks'}, closed, 'other-workspace', /another workspace/v],
		['refuses a missing key', {'x-workspace': 'naslovnik'}, closed, 'no-key', /Send a caller token/v],
		['refuses a scheme that ends alike', {authorization: 'xBearer t1'}, closed, 'no-key', /Send a caller token/v],
		['refuses a key with something behind it', {authorization: 'Bearer t1 t2'}, closed, 'no-key', /Send a caller token/v],
		['refuses an unknown key', {authorization: 'Bearer t2'}, closed, 'unknown-key', /not known/v],
		['refuses another scheme', {authorization: 'Basic t1'}, closed, 'no-key', /Send a caller token/v],
		['refuses a key that is the digest of a known one', {authorization: `Bearer ${Object.keys(callerTokens)[0]}`}, closed, 'unknown-key', /not known/v],
		['refuses the name of a property that every object has', {authorization: 'Bearer __proto__'}, closed, 'unknown-key', /not known/v],
		// Guards against opening the system to everybody when the last key is taken away.
		['refuses all callers when the workspaces have no key left', {'x-workspace': 'naslovnik'}, {callerTokens: {}, workspaces: {naslovnik: {}}}, 'no-key', /Send a caller token/v],
	];
	for (const [name, headers, keys, kind, detail] of refused) {
		it(name, () => {
			const fault = identifyCaller(headers, keys)._unsafeUnwrapErr();
			assert.equal(fault.kind, kind);
			assert.match(fault.detail, detail);
		});
	}
});
