import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Dispatcher} from 'undici';
import {dispatchCall, type CallFault} from './index.js';

/** Dispatches a call through a dispatcher whose connection is opened by hand. */
function startCall() {
	const faults: CallFault[] = [];
	const aborted: string[] = [];
	const control = new AbortController();
	let handler: Dispatcher.DispatchHandler | undefined;
	const dispatcher = {
		dispatch(_: Dispatcher.DispatchOptions, given: Dispatcher.DispatchHandler) {
			handler = given;
			return true;
		},
	} as unknown as Dispatcher;
	const controller = {
		abort(reason: Error) {
			aborted.push(reason.message);
		},
	} as unknown as Dispatcher.DispatchController;
	dispatchCall({
		dispatcher, origin: 'http://10.0.0.1:1', method: 'POST', path: '/', headersTimeoutMs: 100, idleTimeoutMs: 100, signal: control.signal,
	}, {
		onStart: () => undefined, onData: () => undefined, onEnd: () => undefined, onFault(fault) {
			faults.push(fault);
		},
	});
	return {
		faults,
		aborted,
		connect() {
			handler!.onRequestStart!(controller, undefined);
		},
		abort() {
			control.abort();
		},
	};
}

// Guards against a caller who is told that its request may have run, although no byte of it was sent.
describe('dispatchCall, aborted', () => {
	it('is unsent while it waits for its connection, and sends nothing once it has one', () => {
		const call = startCall();
		call.abort();
		assert.deepEqual(call.faults, [{kind: 'aborted', message: 'aborted by this process', isUnsent: true}]);
		call.connect();
		assert.deepEqual(call.aborted, ['given up']);
		assert.equal(call.faults.length, 1);
	});

	it('may have been sent once it has a connection', () => {
		const call = startCall();
		call.connect();
		call.abort();
		assert.deepEqual(call.faults, [{kind: 'aborted', message: 'aborted by this process'}]);
		assert.deepEqual(call.aborted, ['aborted']);
	});
});
