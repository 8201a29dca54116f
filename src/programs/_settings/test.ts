import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	listSettings, parseSettings, type SettingTable,
} from '../../adapters/settings/index.js';
import {
	agentSettings, checkAgentSettings, checkEntrySettings, entrySettings,
} from './index.js';

const entryArgs = ['--host-id', 'dvorana-a-1', '--zone', 'dvorana-a', '--agent-address', '127.0.0.1:7401'];
const agentArgs = ['--host-id', 'dvorana-a-1', '--zone', 'dvorana-a', '--platform-url', 'http://127.0.0.1:8500'];

for (const [name, table, args] of [['entrySettings', entrySettings, entryArgs], ['agentSettings', agentSettings, agentArgs]] as const) {
	describe(name, () => {
		it('reads each default back from the text that help and the settings command show', () => {
			const shown = listSettings(table as SettingTable).filter(row => row.default !== undefined && row.default !== '' && !row.secret);
			const env = Object.fromEntries(shown.map(row => [row.env, row.default]));
			const byDefault = parseSettings(table as SettingTable, {argv: args, env: {}})._unsafeUnwrap();
			const byText = parseSettings(table as SettingTable, {argv: args, env})._unsafeUnwrap();
			assert.deepEqual(byText.values, byDefault.values);
		});

		it('describes each setting in one sentence, under a heading', () => {
			for (const row of listSettings(table as SettingTable)) {
				assert.match(row.description, /^[A-Z].*\.$/, row.name);
			}
		});
	});
}

describe('checkEntrySettings', () => {
	for (const [args, places] of [
		[[], []],
		[['--tls-key-file', 'key.pem'], ['--tls-cert-file']],
		[['--peer-tls-ca-file', 'ca.pem'], ['--peer-tls-cert-file', '--peer-tls-key-file']],
		[['--operator-port', '7400'], ['--operator-port']],
		[['--caller-port', '0', '--peer-port', '0', '--operator-port', '0'], []],
	] as const) {
		it(`finds ${places.join(' and ') || 'nothing'} with '${args.join(' ')}'`, () => {
			const parsed = parseSettings(entrySettings, {argv: [...entryArgs, ...args], env: {}, check: checkEntrySettings});
			assert.deepEqual(parsed.match(() => [], faults => faults.map(fault => fault.place)), places);
		});
	}
});

describe('checkAgentSettings', () => {
	for (const [args, places] of [
		[[], []],
		[['--suspect-after', '1s'], ['--suspect-after']],
		[['--dead-after', '2s'], ['--dead-after']],
		[['--heartbeat-interval', '9s'], ['--suspect-after']],
	] as const) {
		it(`finds ${places.join(' and ') || 'nothing'} with '${args.join(' ')}'`, () => {
			const parsed = parseSettings(agentSettings, {argv: [...agentArgs, ...args], env: {}, check: checkAgentSettings});
			assert.deepEqual(parsed.match(() => [], faults => faults.map(fault => fault.place)), places);
		});
	}
});
