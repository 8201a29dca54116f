import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type PeerCertificate} from 'node:tls';
import {after, describe, it} from 'node:test';
import {Agent, request} from 'undici';
import {
	foreignTestCa, foreignTestPair, testCa, testPairA, testPairB, type TestKeyPair,
} from '../_lib/keys/index.js';
import {connectPeer, type PeerHello} from '../../src/adapters/peer-tcp/index.js';
import {startFleet} from '../_lib/start-fleet/index.js';
import {
	startProgram, type Program, type LogLine, type ProgramOptions,
} from '../_lib/start-program/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';

const timeouts = {headersTimeout: 10_000, bodyTimeout: 10_000};
const token = 'token-of-the-operators';
const programs: Program[] = [];
const directories: string[] = [];

after(async () => {
	await Promise.all(programs.map(async program => program.kill()));
	await Promise.all(directories.map(async dir => rm(dir, {recursive: true})));
});

/** Starts an entry whose agent is not running. */
async function startLoneEntry(options: Partial<ProgramOptions> = {}): Promise<Program> {
	const program = await startProgram({
		program: 'entry',
		...options,
		flags: {
			hostId: 'dvorana-a-1', zone: 'dvorana-a', callerPort: 0, peerPort: 0, operatorPort: 0, agentAddress: '127.0.0.1:1', drainDelay: '0ms', ...options.flags,
		},
	});
	programs.push(program);
	return program;
}

async function ask(port: number, route: string, authorization?: string) {
	const {statusCode, body} = await request(`http://127.0.0.1:${port}${route}`, {headers: authorization === undefined ? {} : {authorization}, ...timeouts});
	return {status: statusCode, text: await body.text()};
}

async function writeKeys(first: TestKeyPair) {
	const dir = await mkdtemp(path.join(tmpdir(), 'banyanport-programs-'));
	directories.push(dir);
	const paths = {cert: path.join(dir, 'cert.pem'), key: path.join(dir, 'key.pem'), ca: path.join(dir, 'ca.pem')};
	const replace = async (pair: TestKeyPair) => {
		await writeFile(paths.cert, pair.cert);
		await writeFile(paths.key, pair.key);
	};

	await replace(first);
	await writeFile(paths.ca, testCa);
	return {paths, replace};
}

describe('operator port of the entry', () => {
	it('lists why the entry is not ready, and serves metrics, status and the burn report', async () => {
		const entry = await startLoneEntry();
		const port = entry.port('operatorPort');
		const ready = await ask(port, '/ready');
		assert.deepEqual([ready.status, ready.text.includes('no configuration is in force')], [503, true]);
		const metrics = await ask(port, '/metrics');
		assert.match(metrics.text, /^banyanport_ready 0$/m);
		const slo = await ask(port, '/slo');
		assert.match(slo.text, /^{"version":1,"hosts":\["dvorana-a-1"]/);
		const status = await ask(port, '/status');
		assert.equal(status.status, 200);
	});

	it('comes with a log line that says why the agent cannot be reached', async () => {
		const entry = await startLoneEntry();
		const line = await entry.waitForLog(({message}) => message === 'view feed disconnected', {deadlineMs: 10_000, what: 'the log line "view feed disconnected"'});
		assert.match(String(line.reason), /127\.0\.0\.1:1 was not reached: .*ECONNREFUSED/);
	});

	it('does not serve its paths on the caller port', async () => {
		const entry = await startLoneEntry();
		for (const route of ['/health', '/ready', '/metrics', '/status', '/slo', '/explain/r1']) {
			const answer = await ask(entry.port('callerPort'), route);
			assert.equal(answer.status >= 400, true, route);
			assert.doesNotMatch(answer.text, /banyanport_|"ready"|"healthy"/, route);
		}
	});

	it('serves nothing without the token', async () => {
		const entry = await startLoneEntry({env: {BANYANPORT_OPERATOR_TOKEN: token}});
		for (const [authorization, status] of [[undefined, 401], ['Bearer token-of-somebody-else', 401], [`Bearer ${token}`, 200]] as const) {
			const answer = await ask(entry.port('operatorPort'), '/metrics', authorization);
			assert.deepEqual([answer.status, answer.text.includes('banyanport_')], [status, status === 200]);
		}

		assert.equal(JSON.stringify(entry.logs()).includes(token), false);
	});
});

describe('settings of the programs', () => {
	const rows: Array<[string, Partial<ProgramOptions>, readonly RegExp[]]> = [
		['several faults, all of which are printed,', {flags: {callerPort: 99_999, zone: undefined, hostId: 'A B'}, env: {BANYANPORT_OPERATR_PORT: '1'}}, [
			/--caller-port '99999'/, /--zone \(or BANYANPORT_ZONE\) is missing/, /--host-id 'A B'/, /did you mean BANYANPORT_OPERATOR_PORT/,
		]],
		['a missing key file', {flags: {tlsCertFile: 'no-such-file.pem', tlsKeyFile: 'no-such-file.pem'}}, [/no-such-file\.pem cannot be read \(ENOENT\)/]],
		['a certificate without its key', {flags: {tlsCertFile: 'cert.pem'}}, [/--tls-key-file is missing while --tls-cert-file is given/]],
	];
	for (const [name, options, messages] of rows) {
		it(`with ${name} end the entry with exit code 2 and no stack trace`, async () => {
			await assert.rejects(startLoneEntry(options), (error: Error) => {
				assert.match(error.message, /"code":2/);
				for (const message of messages) {
					assert.match(error.message, message);
				}

				return !/^\s+at /m.test(error.message.slice(error.message.indexOf('\n')));
			});
		});
	}
});

describe('TLS of the caller port', () => {
	/*
	 * Keys are renewed while callers are connected. An open connection must stay usable,
	 * and a new one must get the new certificate. If only one file of the pair has been
	 * replaced, the old keys must stay in use, and an error must be logged.
	 */
	it('loads new keys without dropping a connection, and keeps the old keys when the new ones do not match', async () => {
		const {paths, replace} = await writeKeys(testPairA);
		const entry = await startLoneEntry({flags: {tlsCertFile: paths.cert, tlsKeyFile: paths.key, keyPollInterval: '100ms'}});
		const seen: string[] = [];
		const connect = {
			ca: testCa,
			checkServerIdentity(_host: string, cert: PeerCertificate) {
				seen.push(String(cert.subject.CN));
				return undefined;
			},
		};
		const agents = Array.from({length: 3}, () => new Agent({connect, connections: 1}));
		const askBy = async (dispatcher: Agent) => {
			const {statusCode, body} = await request(`https://127.0.0.1:${entry.port('callerPort')}/v1/models`, {dispatcher, ...timeouts});
			await body.dump();
			return statusCode;
		};

		const first = await askBy(agents[0]!);
		await replace(testPairB);
		await entry.waitForLog(line => line.message === 'new keys are in use', {deadlineMs: 10_000, what: 'the log line about the new keys'});
		assert.equal(await askBy(agents[0]!), first);
		await askBy(agents[1]!);
		// A poll that read the files while they were written may have logged the same error before.
		const earlier = new Set(entry.logs());
		await replace({cert: testPairB.cert, key: testPairA.key});
		const complaint = 'key files cannot be used; the old keys stay in use';
		const isComplaint = ({level, message, reason}: LogLine) => level === 'error' && message === complaint && String(reason).includes('not the one of the first certificate');
		await entry.waitForLog(line => !earlier.has(line) && isComplaint(line), {deadlineMs: 10_000, what: 'the error about the mismatched key files'});
		await askBy(agents[2]!);
		assert.deepEqual(seen, ['banyanport test only a', 'banyanport test only b', 'banyanport test only b']);
		const metrics = await ask(entry.port('operatorPort'), '/metrics');
		assert.match(metrics.text, /^banyanport_key_faults 1$/m);
		await Promise.all(agents.map(async agent => agent.close()));
	});
});

describe('mutual TLS between the processes of a fleet', () => {
	/*
	 * An attacker who reaches the peer ports connects without keys, with keys of another
	 * authority, and with such keys and the certificate of the right authority. The
	 * attacker must not even get a hello, while the host works and renews its keys.
	 */
	it('serves a peer with valid keys, and refuses all others', async () => {
		const own = await writeKeys(testPairA);
		const stranger: PeerHello = {
			host: 'dvorana-b-1', zone: 'dvorana-b', role: 'agent', incarnation: 1,
		};
		const toFlags = ({paths}: typeof own) => ({
			peerTlsCertFile: paths.cert, peerTlsKeyFile: paths.key, peerTlsCaFile: paths.ca, keyPollInterval: '100ms',
		});
		const fleet = await startFleet({
			zones: ['dvorana-a'], hostsPerZone: 1, agentFlags: toFlags(own), entryFlags: toFlags(own),
		});
		try {
			await fleet.waitUntilReady();
			const [host] = fleet.hosts;
			const ports = [host!.agent().port('peerPort'), host!.entry().port('peerPort')];
			const keysOf = [
				{tls: undefined, isServed: false},
				{tls: () => ({...foreignTestPair, ca: foreignTestCa}), isServed: false},
				{tls: () => ({...foreignTestPair, ca: testCa}), isServed: false},
				{tls: () => ({...testPairB, ca: testCa}), isServed: true},
			];
			for (const port of ports) {
				for (const [i, {tls, isServed}] of keysOf.entries()) {
					const connected = await connectPeer({
						address: `127.0.0.1:${port}`, hello: stranger, connectTimeoutMs: 3000, ...tls === undefined ? {} : {tls},
					});
					if (connected.isOk()) {
						connected.value.close();
					}

					assert.equal(connected.isOk(), isServed, `keys ${i} at port ${port}`);
				}
			}

			await own.replace(testPairB);
			await host!.agent().waitForLog(line => line.message === 'new keys are in use', {deadlineMs: 10_000, what: 'the log line of the agent about the new keys'});
			await host!.entry().waitForLog(line => line.message === 'new keys are in use', {deadlineMs: 10_000, what: 'the log line of the entry about the new keys'});
			const ready = await waitUntil(async () => {
				const answer = await ask(host!.entry().port('operatorPort'), '/ready');
				return answer.status === 200;
			}, {deadlineMs: 10_000, what: 'the entry to be ready with the new keys'});
			assert.equal(ready, true);
		} finally {
			await fleet.stop();
		}
	});
});

describe('operator port of the agent', () => {
	/*
	 * An operator publishes a valid document and then a truncated one. The valid one must
	 * stay in force, and the status must show that the other was refused, and why, so
	 * that operators need no logs for it. The next valid document clears the notice.
	 */
	it('shows the last refused document until a valid one is in force', async () => {
		const fleet = await startFleet({zones: ['dvorana-a'], hostsPerZone: 1});
		try {
			await fleet.waitUntilReady();
			const port = fleet.hosts[0]!.agent().port('operatorPort');
			const waitForStatus = async (pattern: RegExp, what: string) => waitUntil(async () => {
				const {text} = await ask(port, '/status');
				return pattern.test(text);
			}, {deadlineMs: 15_000, what});
			const before = fleet.configText;
			fleet.platform.publish('config', before.slice(0, -20));
			await waitForStatus(/"refused":{"revision":2,"from":"platform","kind":"[a-z-]+","reason":"[^"]/, 'the refused document in the status');
			const {text} = await ask(port, '/metrics');
			assert.match(text, /^banyanport_configs_refused_total 1$/m);
			assert.match(text, /^banyanport_config_revision 1$/m);
			const entryStatus = await ask(fleet.hosts[0]!.entry().port('operatorPort'), '/ready');
			assert.equal(entryStatus.status, 200);
			fleet.platform.publish('config', fleet.toConfigText({}));
			await waitForStatus(/^(?!.*"refused")/, 'the notice to disappear from the status');
		} finally {
			await fleet.stop();
		}
	});

	// Guards the case in which a supervisor starts the new agent before the old one has exited.
	it('names the taken port and its flag, and exits with code 1', async () => {
		const holder = createServer();
		await new Promise<void>(resolve => {
			holder.listen(0, '127.0.0.1', resolve);
		});
		const {port} = holder.address() as AddressInfo;
		const starting = startProgram({
			program: 'agent',
			flags: {
				hostId: 'dvorana-a-1', zone: 'dvorana-a', bind: '127.0.0.1', peerPort: port, operatorPort: 0, platformUrl: 'http://127.0.0.1:1',
			},
		});
		try {
			await assert.rejects(starting, ({message}: Error) => message.includes('"code":1') && message.includes(String(port)) && message.includes('--peer-port') && !/^ {4}at /m.test(message));
		} finally {
			holder.close();
		}
	});
});
