import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {createRunStream} from './create-run-stream.js';

const v1: StreamOrigin = {pool: 'letters', softwareVersion: 'v1'};
const v2: StreamOrigin = {pool: 'letters', softwareVersion: 'v2'};

function open(origin?: StreamOrigin) {
	const recorded: StreamOrigin[] = [];
	const stream = createRunStream({
		origin, record(next) {
			recorded.push(next);
		},
	});
	return {stream, recorded};
}

describe('createRunStream', () => {
	it('records the origin once, with the first event', () => {
		const {stream, recorded} = open();
		assert.equal(stream.origin(), undefined);
		assert.deepEqual(recorded, []);
		stream.noteEvents(v1);
		stream.noteEvents(v1);
		assert.deepEqual(stream.origin(), v1);
		assert.deepEqual(recorded, [v1]);
	});

	it('records the origin of a stream that goes on, again with its first event', () => {
		const {stream, recorded} = open(v2);
		assert.deepEqual(stream.origin(), v2);
		assert.deepEqual(recorded, []);
		stream.noteEvents(v2);
		assert.deepEqual(recorded, [v2]);
	});

	// Guards against a stream that is continued at any server, because a host of an older build began it and did not tell where.
	it('can\'t go on after events whose origin was not told, and records nothing', () => {
		const {stream, recorded} = open();
		assert.equal(stream.hasUnknownOrigin(), false);
		stream.noteEvents(undefined);
		assert.ok(stream.hasUnknownOrigin());
		assert.equal(stream.accepts(v1), false);
		assert.deepEqual(recorded, []);
	});
});
