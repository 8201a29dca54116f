import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLog} from '../../../adapters/log/index.js';
import {watchTwin} from './watch-twin.js';

describe('watchTwin', () => {
	it('logs each twin once, with both addresses and the remedy, and logs when it is gone', () => {
		const lines: Array<Record<string, unknown>> = [];
		let twin: string | undefined;
		const sink = {
			write(text: string) {
				lines.push(JSON.parse(text) as Record<string, unknown>);
				return true;
			},
			writableLength: 0,
			on: () => undefined,
		};
		const watch = watchTwin({
			hostId: 'a-1',
			address: '192.0.2.5:7401',
			twin: () => twin,
			log: createLog({
				level: 'info', program: 'p', host: 'a-1', zone: 'a', incarnation: 1, sink,
			}),
		});
		for (const next of [undefined, '192.0.2.9:7401', '192.0.2.9:7401', undefined, undefined]) {
			twin = next;
			watch.check();
		}

		assert.deepEqual(lines.map(({level}) => level), ['error', 'info']);
		assert.equal(lines[0]!.peerAddress, '192.0.2.9:7401');
		assert.match(String(lines[0]!.reason), /192\.0\.2\.9:7401.*192\.0\.2\.5:7401/);
		assert.match(String(lines[0]!.remedy), /--host-id/);
	});
});
