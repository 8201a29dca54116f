import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {after, describe, it} from 'node:test';
import {
	foreignTestCa, foreignTestPair, testCa, testPairA, testPairB,
} from '../../../test/_lib/keys/index.js';
import {createLog} from '../log/index.js';
import {createMetrics} from '../metrics/index.js';
import {type KeyEvent, loadKeys, reportKeys} from './index.js';

const directories: string[] = [];

after(async () => {
	for (const dir of directories) {
		await rm(dir, {recursive: true});
	}
});

/** Creates key files in a new directory; the test polls them by `check`. */
async function createFiles(contents: {cert?: string; key?: string; ca?: string}) {
	const dir = await mkdtemp(path.join(tmpdir(), 'banyanport-keys-'));
	directories.push(dir);
	const files = {certFile: path.join(dir, 'cert.pem'), keyFile: path.join(dir, 'key.pem'), caFile: path.join(dir, 'ca.pem')};
	const write = async (changed: {cert?: string; key?: string; ca?: string}) => {
		for (const [name, text] of Object.entries(changed)) {
			await writeFile(path.join(dir, `${name}.pem`), text);
		}
	};

	await write(contents);
	return {
		files, write, load: async (wallNow = Date.now) => loadKeys({
			...files, pollInterval: 1000, repeat: () => () => undefined, wallNow,
		}),
	};
}

const damagedCert = testPairA.cert.replace(/\n[A-Za-z\d+/]{10}/, '\nAAAAAAAAAA');

describe('loadKeys', () => {
	const year = 365 * 24 * 3600 * 1000;
	const brokenFiles: Array<{name: string; contents: {cert?: string; key?: string; ca?: string}; file: string; message: RegExp; wallNow?: () => number}> = [
		{
			name: 'a missing key', contents: {cert: testPairA.cert, ca: testCa}, file: 'key.pem', message: /cannot be read \(ENOENT\)/,
		},
		{
			name: 'the key of another certificate', contents: {cert: testPairA.cert, key: testPairB.key, ca: testCa}, file: 'key.pem', message: /not the one of the first certificate/,
		},
		{
			name: 'an empty key, as a copy in progress leaves it', contents: {cert: testPairA.cert, key: '', ca: testCa}, file: 'key.pem', message: /is no private key/,
		},
		{
			name: 'a key cut short', contents: {cert: testPairA.cert, key: testPairA.key.slice(0, 100), ca: testCa}, file: 'key.pem', message: /is no private key/,
		},
		{
			name: 'a file that is no certificate', contents: {cert: 'hello', key: testPairA.key, ca: testCa}, file: 'cert.pem', message: /no PEM certificate/,
		},
		{
			name: 'a certificate cut short', contents: {cert: testPairA.cert.slice(0, 300), key: testPairA.key, ca: testCa}, file: 'cert.pem', message: /no PEM certificate/,
		},
		{
			name: 'a certificate with changed bytes', contents: {...testPairA, cert: damagedCert, ca: testCa}, file: 'cert.pem', message: /cannot be parsed/,
		},
		{
			name: 'an empty file of authorities', contents: {...testPairA, ca: ''}, file: 'ca.pem', message: /no PEM certificate/,
		},
		{
			name: 'a certificate that has ended', contents: {...testPairA, ca: testCa}, file: 'cert.pem', message: /valid only from/, wallNow: () => Date.now() + (200 * year),
		},
		{
			name: 'a certificate that is not valid yet', contents: {...testPairA, ca: testCa}, file: 'cert.pem', message: /valid only from/, wallNow: () => Date.now() - (200 * year),
		},
	];
	for (const {name, contents, file, message, wallNow} of brokenFiles) {
		it(`refuses ${name} at the start, naming the file and none of its content`, async () => {
			const {load} = await createFiles(contents);
			const loaded = await load(wallNow);
			const fault = loaded._unsafeUnwrapErr();
			assert.equal(path.basename(fault.file), file);
			assert.match(fault.message, message);
			assert.equal(fault.message.includes('PRIVATE'), false);
		});
	}

	it('loads a new pair, and requires a certificate from the peer if authorities are set', async () => {
		const {load, write} = await createFiles({...testPairA, ca: testCa});
		const loaded = await load();
		const keys = loaded._unsafeUnwrap();
		const events: KeyEvent[] = [];
		keys.listen(event => events.push(event));
		assert.equal(keys.current().requestCert && keys.current().rejectUnauthorized, true);
		await write(testPairB);
		await keys.check();
		await keys.check();
		assert.equal(keys.current().cert, testPairB.cert);
		assert.deepEqual(events.map(event => event.kind), ['reloaded']);
	});

	it('keeps the old pair while the new one is invalid, reports it once, and recovers', async () => {
		const {load, write} = await createFiles({...testPairA, ca: testCa});
		const loaded = await load();
		const keys = loaded._unsafeUnwrap();
		const events: KeyEvent[] = [];
		keys.listen(event => events.push(event));
		await write({cert: testPairB.cert});
		await keys.check();
		await keys.check();
		assert.equal(keys.current().cert, testPairA.cert);
		assert.match(keys.fault()!.message, /not the one of the first certificate/);
		await write({ca: 'gone'});
		await keys.check();
		assert.match(keys.fault()!.file, /ca\.pem$/);
		await write({cert: testPairA.cert, ca: testCa});
		await keys.check();
		assert.equal(keys.fault(), undefined);
		await write({...foreignTestPair, ca: foreignTestCa});
		await keys.check();
		assert.deepEqual(events.map(event => event.kind), ['kept-old', 'kept-old', 'recovered', 'reloaded']);
	});
});

describe('reportKeys', () => {
	it('reports an invalid pair in log, metrics and reasons', async () => {
		const {load, write} = await createFiles({...testPairA, ca: testCa});
		const loaded = await load();
		const keys = loaded._unsafeUnwrap();
		const texts: string[] = [];
		const sink = {write: (text: string) => texts.push(text) > 0, writableLength: 0, on: () => undefined};
		const log = createLog({
			level: 'info', program: 'p', host: 'a', zone: 'a', incarnation: 1, sink,
		});
		const metrics = createMetrics();
		const toReasons = reportKeys({keys: {peer: keys, caller: undefined}, log, metrics});
		assert.deepEqual(toReasons(), []);
		await write({key: 'broken'});
		await keys.check();
		assert.match(toReasons().join(' '), /^peer keys: .*key\.pem .*the old keys stay in use$/);
		assert.match(texts.join(''), /"level":"error","message":"key files cannot be used; the old keys stay in use"/);
		assert.match(metrics.toPrometheus(), /key_faults 1\n[\s\S]*key_reloads_total|key_reloads_total{use="peer",result="refused"} 1/);
	});
});
