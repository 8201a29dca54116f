import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	defineSettings, listSettings, loadSettings, parseSettings,
} from './index.js';

const table = defineSettings({
	hostId: {
		type: 'text', required: true, group: 'A', description: 'Name.', pattern: {test: /^[a-z]+$/, hint: 'a name'},
	},
	callerPort: {
		type: 'port', default: 7400, group: 'A', description: 'Port.',
	},
	bodyTimeout: {
		type: 'duration', default: 30_000, min: 100, max: 60_000, group: 'A', description: 'Time.',
	},
	maxBytes: {
		type: 'bytes', default: 1024, group: 'A', description: 'Size.',
	},
	seeds: {
		type: 'addresses', default: [], group: 'A', description: 'Peers.',
	},
	level: {
		type: 'choice', choices: ['info', 'debug'], default: 'info', group: 'A', description: 'Level.',
	},
	quiet: {
		type: 'boolean', default: false, group: 'A', description: 'Quiet.',
	},
	token: {
		type: 'text', secret: true, group: 'A', description: 'Token.',
	},
	agentAddress: {
		type: 'address', group: 'A', description: 'Agent.',
	},
});
const otherTables = [defineSettings({
	platformUrl: {
		type: 'url', group: 'B', description: 'Platform.',
	},
})];

function parse(argv: readonly string[], env: Record<string, string> = {}) {
	return parseSettings(table, {argv, env, otherTables});
}

function faultsOf(argv: readonly string[], env: Record<string, string> = {}): string[] {
	return parse(argv, env)._unsafeUnwrapErr().map(fault => `${fault.place} ${fault.message}: ${fault.remedy}`);
}

describe('parseSettings', () => {
	it('prefers flags to environment to defaults, and returns the source', () => {
		const {values, sources} = parse(['--host-id', 'a', '--body-timeout=2s', '--quiet'], {
			BANYANPORT_BODY_TIMEOUT: '5s', BANYANPORT_MAX_BYTES: '64MiB', BANYANPORT_SEEDS: '127.0.0.1:1, [::1]:2', BANYANPORT_PLATFORM_URL: 'http://127.0.0.1:1', PATH: '/bin',
		})._unsafeUnwrap();
		assert.deepEqual(values, {
			hostId: 'a', callerPort: 7400, bodyTimeout: 2000, maxBytes: 64 * 1024 * 1024, seeds: ['127.0.0.1:1', '[::1]:2'], level: 'info', quiet: true, token: undefined, agentAddress: undefined,
		});
		assert.deepEqual([sources.bodyTimeout, sources.maxBytes, sources.callerPort, sources.token], ['flag', 'environment', 'default', 'unset']);
	});

	it('reports all faults at once', () => {
		assert.deepEqual(faultsOf(['--caler-port', '1', '--body-timeout', '5', '--token', 'hush', 'stray'], {BANYANPORT_LEVL: 'info'}), [
			'--caler-port is no flag of this program: did you mean --caller-port?',
			'--token is a secret, and flags are seen by every user of the machine: set BANYANPORT_TOKEN instead',
			'BANYANPORT_LEVL is no setting: did you mean BANYANPORT_LEVEL?',
			'--host-id (or BANYANPORT_HOST_ID) is missing: give a name',
			'--body-timeout \'5\' is not allowed here: give a duration such as 250ms, 2s or 5min, from 100ms to 1min',
		]);
	});

	const refused: Array<[string, string]> = [
		['--caller-port', '65536'],
		['--caller-port', '-1'],
		['--caller-port', '80x'],
		['--body-timeout', '99ms'],
		['--body-timeout', '2 parsecs'],
		['--max-bytes', '1 KiB 2'],
		['--max-bytes', '10'],
		['--seeds', 'localhost:80'],
		['--seeds', '127.0.0.1:1,127.0.0.1'],
		['--agent-address', '127.0.0.1:99999'],
		['--agent-address', '::1:80'],
		['--level', 'INFO'],
		['--quiet', 'yes'],
		['--host-id', 'UPPER'],
		['--host-id', ' '],
	];
	for (const [flag, value] of refused) {
		it(`refuses ${flag} '${value}'`, () => {
			const argv = flag === '--host-id' ? [flag, value] : ['--host-id', 'a', flag, value];
			const faults = parse(argv)._unsafeUnwrapErr();
			assert.deepEqual(faults.map(fault => fault.place), [flag]);
		});
	}

	it('refuses a flag given twice and a flag without a value', () => {
		assert.deepEqual(faultsOf(['--host-id', 'a', '--host-id', 'b', '--caller-port']), [
			'--host-id is given 2 times: give it once',
			'--caller-port has no value: give a port from 0 (any free one) to 65535',
			'--host-id (or BANYANPORT_HOST_ID) is missing: give a name',
		]);
	});

	it('reports a value that looks like a flag as both', () => {
		assert.deepEqual(faultsOf(['--host-id', 'a', '--max-bytes', '-1KiB']), [
			'-1KiB is no flag of this program: --help lists what there is',
			'--max-bytes has no value: give a size such as 512KiB, 64MiB or 1GiB',
		]);
	});

	it('does not print a secret, even if it is invalid', () => {
		const secret = defineSettings({
			token: {
				type: 'text', secret: true, pattern: {test: /^.{16,}$/, hint: '16 characters'}, group: 'A', description: 'Token.',
			},
		});
		const loaded = loadSettings(secret, {
			program: 'p', description: 'd', argv: [], env: {BANYANPORT_TOKEN: 'hush-hush'},
		});
		assert.equal(loaded.kind === 'exit' && loaded.code === 2 && !loaded.stderr.includes('hush-hush'), true);
		const parsed = parseSettings(secret, {argv: [], env: {BANYANPORT_TOKEN: 'hush-hush-hush-hush'}})._unsafeUnwrap();
		assert.equal(listSettings(secret, parsed)[0]!.value, '***');
	});

	it('runs the check of combinations only if each value alone is valid', () => {
		const check = () => [{place: 'x', message: 'clashes', remedy: 'choose'}];
		assert.equal(parseSettings(table, {argv: ['--host-id', 'a'], env: {}, check})._unsafeUnwrapErr()[0]!.place, 'x');
		assert.equal(parseSettings(table, {argv: [], env: {}, check})._unsafeUnwrapErr()[0]!.message, 'is missing');
	});

	it('returns values or faults for any arguments, and never throws', () => {
		const flag = fc.constantFrom('--host-id', '--quiet', '--caller-port', '--', '-x', '--no-quiet', '--help');
		fc.assert(fc.property(fc.array(fc.oneof(flag, fc.string())), argv => {
			const loaded = loadSettings(table, {
				program: 'p', description: 'd', argv, env: {},
			});
			assert.equal(loaded.kind === 'run' || loaded.code === 0 || loaded.code === 2, true);
		}));
	});
});

describe('loadSettings', () => {
	it('answers --help with every setting, its default and its environment name', () => {
		const loaded = loadSettings(table, {
			program: 'banyanport-x', description: 'Does x.', argv: ['--help', '--nonsense'], env: {},
		});
		assert.equal(loaded.kind, 'exit');
		const text = loaded.kind === 'exit' && loaded.code === 0 ? loaded.stdout.replaceAll(/\s+/g, ' ') : '';
		for (const part of ['Does x.', '--caller-port <port>', 'default 7400', 'default 30s', 'BANYANPORT_TOKEN only']) {
			assert.equal(text.includes(part), true, part);
		}
	});
});
