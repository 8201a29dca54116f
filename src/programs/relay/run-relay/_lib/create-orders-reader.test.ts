import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCollectedLines} from '../../../../../test/_lib/create-collected-lines/index.js';
import {createLog} from '../../../../adapters/log/index.js';
import {loadSettings} from '../../../../adapters/settings/index.js';
import {relaySettings} from '../../../_settings/index.js';
import {createOrdersReader} from './create-orders-reader.js';

const base = {
	BANYANPORT_HOST_ID: 'a',
	BANYANPORT_ZONE: 'a',
	BANYANPORT_ZONES: 'a=r',
	BANYANPORT_CALLER_ADDRESS: '127.0.0.1:1',
	BANYANPORT_OPERATOR_ADDRESS: '127.0.0.1:2',
	BANYANPORT_PLATFORM_ADDRESS: '127.0.0.1:3',
};

function create() {
	let env: NodeJS.ProcessEnv | Error = base;
	let parsed = 0;
	const collected = createCollectedLines();
	function readCurrent(): NodeJS.ProcessEnv {
		if (env instanceof Error) {
			throw env;
		}

		return env;
	}

	const read = createOrdersReader('10.0.0.1:1', {
		log: createLog({
			level: 'info', program: 'test', host: 'a', zone: 'a', incarnation: 1, sink: collected.sink,
		}),
		readEnv: readCurrent,
		load() {
			parsed++;
			return loadSettings(relaySettings, {
				program: 'test', description: 'test', argv: [], env: readCurrent(),
			});
		},
	});
	return {
		read,
		parsed: () => parsed,
		faults: () => collected.lines().filter(({level}) => level === 'error').length,
		set(next: NodeJS.ProcessEnv | Error) {
			env = next;
		},
	};
}

describe('createOrdersReader', () => {
	it('follows the settings, and parses them only when they have changed', () => {
		const {read, set, parsed} = create();
		set({...base, BANYANPORT_ORDERS_FROM: '10.0.0.2:1'});
		assert.equal(read(), '10.0.0.2:1');
		assert.equal(read(), '10.0.0.2:1');
		assert.equal(parsed(), 1);
		set(base);
		assert.equal(read(), undefined);
	});

	// Guards against a host that ends because its settings are gone or half written while it reads them.
	it('keeps the last host, with one line, while the settings cannot be read', () => {
		const {read, set, faults} = create();
		set(new Error('no such file'));
		assert.equal(read(), '10.0.0.1:1');
		set({...base, BANYANPORT_ORDERS_FROM: 'no address'});
		assert.equal(read(), '10.0.0.1:1');
		assert.equal(faults(), 1);
		set({...base, BANYANPORT_ORDERS_FROM: '10.0.0.2:1'});
		assert.equal(read(), '10.0.0.2:1');
	});
});
