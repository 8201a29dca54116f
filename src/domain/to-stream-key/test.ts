import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toStreamKey} from './index.js';

describe('toStreamKey', () => {
	it('is the same for the same request of a workspace', () => {
		assert.equal(toStreamKey('w', 'r'), toStreamKey('w', 'r'));
		assert.match(toStreamKey('w', 'r'), /^[\w\-]{16}$/v);
	});

	// Guards against a workspace that binds or learns of a stream of another, by using the same request id.
	it('differs for the same id in two workspaces, and for ids that differ in case', () => {
		assert.notEqual(toStreamKey('w', 'r'), toStreamKey('v', 'r'));
		assert.notEqual(toStreamKey('w', 'r'), toStreamKey('w', 'R'));
	});

	it('differs for any two pairs, as ids have no line breaks', () => {
		const id = fc.string().filter(text => !text.includes('\n'));
		fc.assert(fc.property(fc.string(), id, fc.string(), id, (workspace, request, otherWorkspace, otherRequest) => {
			const isSame = workspace === otherWorkspace && request === otherRequest;
			assert.equal(toStreamKey(workspace, request) === toStreamKey(otherWorkspace, otherRequest), isSame);
		}));
	});
});
