import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {errAsync, okAsync} from 'neverthrow';
import {startOperatorServer} from '../../../adapters/operator-http/index.js';
import {createRandom} from '../../../domain/_test/create-random.js';
import {checkSeal} from '../../../domain/check-seal/index.js';
import {createProcessIo} from '../_lib/create-process-io.js';
import {type CliIo} from '../_lib/io.js';
import {runCli} from './index.js';

const naslovnik = readFileSync('examples/naslovnik.yaml', 'utf8');
const glossworks = readFileSync('examples/glossworks.yaml', 'utf8');
const faulty = naslovnik.replace('then: question', 'then: qestion');

type Run = {code: number; out: string; errors: string; written: Readonly<Record<string, string>>};

/** Runs a command line on files and hosts that are held in memory. */
async function run(args: readonly string[], files: Readonly<Record<string, string>> = {}, documents: Readonly<Record<string, unknown>> = {}): Promise<Run> {
	const lines = {out: '', errors: ''};
	const written: Record<string, string> = {};
	const io: CliIo = {
		write(text) {
			lines.out += text;
		},
		writeError(text) {
			lines.errors += text;
		},
		readText: path => files[path] === undefined ? errAsync({message: `${path} can't be read`}) : okAsync(files[path]),
		writeText(path, text) {
			written[path] = text;
			return okAsync();
		},
		makeFolder: () => okAsync(),
		fetchJson(host, path) {
			const missing = {message: `${host} can't be asked`, ...(host.startsWith('h:') && {status: 404})};
			return documents[host + path] === undefined ? errAsync(missing) : okAsync(documents[host + path]);
		},
		env: {},
		random: createRandom(),
		wallNow: () => 0,
	};
	const code = await runCli(args, io);
	return {code, ...lines, written};
}

const files = {'a.yaml': naslovnik, 'b.yaml': naslovnik.replace('promptTokensBelow: 2000', 'promptTokensBelow: 3000'), 'faulty.yaml': faulty};
const slo = {version: 1, hosts: ['a-1'], series: []};

const toLog = (at: number, host: string, message: string, fields: Readonly<Record<string, unknown>> = {}): string =>
	`${JSON.stringify({
		level: 'info', message, time: new Date(at).toISOString(), host, ...fields,
	})}\n`;

const logFiles = {
	'a.log': `${toLog(0, 'a', 'server changed', {server: 's1', state: 'gone'})}${toLog(10, 'a', 'request received', {requestId: 'r1'})}${toLog(20, 'a', 'no place', {requestId: 'r1', server: 's1'})}${toLog(30, 'a', 'every server is full', {requestId: 'r1'})}${toLog(900, 'a', 'request ended', {requestId: 'r1', reason: 'no-capacity'})}`,
	'b.log': `collected: ${toLog(400, 'b', 'server changed', {server: 's1', state: 'gone'})}nonsense\n`,
};

describe('runCli', () => {
	const cases: Array<[args: string, code: number, text: RegExp, documents?: Readonly<Record<string, unknown>>]> = [
		['check a.yaml', 0, /^a\.yaml: valid \(plain\): 6 rules, 17 servers, 8 hosts, 4 zones\n$/],
		['check faulty.yaml', 1, /^faulty\.yaml:\d+:\d+: there is no route "qestion"; write "question"\nfaulty\.yaml: 1 fault\n$/],
		['check gone.yaml', 3, /gone\.yaml can't be read/],
		['check', 2, /missing required argument 'file'/],
		['check a.yaml --jsn', 2, /unknown option '--jsn'/],
		['chek a.yaml', 2, /unknown command 'chek'[^]*Did you mean check/],
		['', 2, /Usage: banyanport/],
		['--help', 0, /Exit codes: 0 fine/],
		['seal --help', 0, /Examples:\n {2}banyanport seal rules\.yaml/],
		['seal a.yaml', 0, /edition: 1\nfollows: none\nend: sealed-[\da-f]{64}\n/],
		['seal faulty.yaml', 1, /there is no route "qestion"[^]*was not sealed/],
		['seal a.yaml --follows gone.yaml', 3, /gone\.yaml can't be read/],
		['seal a.yaml --to xml', 2, /Allowed choices are json/],
		['diff a.yaml a.yaml', 0, /^0 of \d+ sample requests change/],
		['diff a.yaml b.yaml', 0, /changed in rules: desk questions\n[^]*rule "letters" before, rule "desk questions" after\n {2}class: batch -> quick/],
		['diff a.yaml faulty.yaml', 1, /there is no route/],
		['explain a.yaml --model letter-summary', 0, /rule 3 "desk questions" does not match:\n {2}class: wants quick, got nothing\n[^]*rule 5 "letters" decides:\n {2}pool: summaries/],
		['explain a.yaml --model letter-summary --class quick --prompt-tokens 2000', 0, /promptTokensBelow: wants 2000, got 2000\n[^]*rule 5 "letters" decides/],
		['explain a.yaml --prompt-tokens many', 2, /Write a whole number/],
		['explain a.yaml --header genre', 2, /Write it as name=value/],
		['explain faulty.yaml', 1, /there is no route/],
		['status h:1', 0, /^h:1\n {2}ready: true\n/, {'h:1/status': {ready: true}}],
		['status h:1 h:2', 3, /h:2 can't be asked[^]*ready: true/, {'h:1/status': {ready: true}}],
		['account r-1 h:1 h:2', 0, /h:2\n {2}requestId: r-1\n/, {'h:2/explain/r-1': {requestId: 'r-1'}}],
		['account r-1 h:1', 1, /none of h:1 keeps an account of r-1/],
		['account r-1 down:1', 3, /down:1 can't be asked/],
		['slo h:1', 0, /Burn of 1 host: a-1/, {'h:1/slo': slo}],
		['slo h:1 h:2', 3, /h:2: its burn report can't be read[^]*Burn of 1 host: a-1/, {'h:1/slo': slo, 'h:2/slo': {version: 2}}],
		['slo h:1', 3, /can't be asked/],
		['settings agent', 0, /--platform-url {2}\(BANYANPORT_PLATFORM_URL\)\n.*\n {2}takes .*; default none, required; now unset \(unset\)/],
		['settings agent -- --bnd 3', 1, /--bnd .*--bind/],
		['settings cli', 2, /Allowed choices are entry, agent/],
	];
	for (const [args, code, text, documents] of cases) {
		it(`ends "banyanport ${args}" with ${code}`, async () => {
			const result = await run(args.split(' ').filter(Boolean), files, documents);
			assert.equal(result.code, code, result.out + result.errors);
			assert.match(result.errors + result.out, text);
		});
	}

	const logCases: Array<[args: string, code: number, text: RegExp]> = [
		['explain-request a.log b.log --id r1', 0, /1 lines are not log lines[^]*~ +-10 ms {2}a {2}server changed[^]*no-capacity: [^]*every decode server was full/],
		['explain-request a.log --id r2', 1, /no line names r2/],
		['explain-request a.log', 2, /required option '--id/],
		['explain-request gone.log --id r1', 3, /gone\.log can't be read/],
		['timeline a.log b.log', 0, /server changed {2}server=s1 state=gone {2}a b \(all within 400 ms\)/],
		['timeline a.log --json', 0, /"hosts": \[/],
	];
	for (const [args, code, text] of logCases) {
		it(`ends "banyanport ${args}" with ${code}`, async () => {
			const result = await run(args.split(' '), logFiles);
			assert.equal(result.code, code, result.out + result.errors);
			assert.match(result.errors + result.out, text);
		});
	}

	it('lists the settings of the relay', async () => {
		const {code, out} = await run(['settings', 'relay']);
		assert.equal(code, 0);
		assert.match(out, /--orders-from/);
	});

	for (const [name, text] of Object.entries({naslovnik, glossworks})) {
		it(`accepts the example of ${name}`, async () => {
			const {code} = await run(['check', 'example.yaml'], {'example.yaml': text});
			assert.equal(code, 0);
		});
	}

	const jsonCases = [
		'check a.yaml', 'check faulty.yaml', 'seal a.yaml', 'seal faulty.yaml', 'diff a.yaml b.yaml', 'diff faulty.yaml a.yaml', 'explain a.yaml', 'settings entry', 'status h:1', 'slo h:1',
	];
	for (const args of jsonCases) {
		it(`writes one JSON document and nothing else for "${args} --json"`, async () => {
			const {out} = await run([...args.split(' '), '--json'], files, {'h:1/status': {}, 'h:1/slo': slo});
			assert.equal(typeof JSON.parse(out), 'object');
		});
	}

	it('seals a chain of editions, also from YAML to JSON', async () => {
		const first = await run(['seal', 'a.yaml', '--output', 'first.yaml'], files);
		const second = await run(['seal', 'b.yaml', '--follows', 'first.yaml', '--to', 'json', '--output', 'second.json'], {...files, ...first.written});
		const text = second.written['second.json']!;
		assert.equal(checkSeal(text)._unsafeUnwrap().edition, 2);
		const whole = await run(['check', 'second.json'], second.written);
		assert.equal(whole.code, 0);
		const cut = await run(['check', 'second.json'], {'second.json': text.slice(0, -9)});
		assert.equal(cut.code, 1);
		const altered = await run(['check', 'first.yaml'], {'first.yaml': first.written['first.yaml']!.replace('300ms', '301ms')});
		assert.match(altered.out, /changed after it was sealed; seal it again/);
	});

	const lettersRule = '  - {name: letters, when: {model: letter-summary}, then: summary}\n';
	const folder = {
		'rules/root.yaml': naslovnik.replace('zones:', 'parts: [desk, letters]\nzones:').replace(/^rules:[^]*(?= {2}- {name: everything else)/m, 'rules:\n'),
		'rules/desk.yaml': `${/^rules:[^]*(?= {2}- {name: letters)/m.exec(naslovnik)![0]}end: banyanport\n`,
		'rules/letters.yaml': `rules:\n${lettersRule}end: banyanport\n`,
	};
	const faultyLetters = {...folder, 'rules/letters.yaml': folder['rules/letters.yaml'].replace('summary}\nend', 'sumary}\nend')};
	const {'rules/letters.yaml': letters, ...withoutLetters} = folder;

	const folderCases: Array<[args: string, code: number, text: RegExp, files?: Readonly<Record<string, string>>]> = [
		['check rules', 0, /^rules: valid \(plain, 2 parts\): 6 rules, 17 servers, 8 hosts, 4 zones\n$/],
		['check rules/root.yaml', 0, /valid \(plain, 2 parts\)/],
		['check rules', 1, /^rules\/letters\.yaml:2:\d+: there is no route "sumary"; write "summary"/, faultyLetters],
		['check rules', 1, /^rules\/root\.yaml:\d+:\d+: the part "letters" is not there; write the file letters\.yaml or letters\.json beside the root/, withoutLetters],
		['check rules', 1, /rules\/letters\.yaml:\d+:\d+: the part does not end with its end mark/, {...folder, 'rules/letters.yaml': letters.replace('end: banyanport\n', '')}],
		['check rules', 3, /both rules\/letters\.yaml and rules\/letters\.json: keep the one/, {...folder, 'rules/letters.json': '{}'}],
		['check nowhere', 3, /nowhere can't be read/],
		['diff a.yaml rules', 0, /^0 of \d+ sample requests change/],
		['explain rules --model letter-summary', 0, /rule 5 "letters" decides/],
		['seal rules', 2, /name a folder of its own/],
		['seal rules --output rules', 2, /name a folder of its own/],
		['seal rules --output next', 1, /rules\/letters\.yaml:2:\d+: there is no route "sumary"[^]*was not sealed/, faultyLetters],
	];
	for (const [args, code, text, given = folder] of folderCases) {
		it(`ends "banyanport ${args}" of a folder with ${code} and ${String(text).slice(1, 40)}`, async () => {
			const result = await run(args.split(' '), {...files, ...given});
			assert.equal(result.code, code, result.out + result.errors);
			assert.match(result.errors + result.out, text);
		});
	}

	it('seals a folder edition by edition, and lists the changed parts and then the root to publish', async () => {
		const first = await run(['seal', 'rules', '--follows', 'a.yaml', '--output', 'first'], {...files, ...folder});
		const steps = first.out.replaceAll(/[\da-f]{16}/g, '#').split('\n');
		assert.deepEqual(steps, ['publish in this order, the root last:', '  config.desk.#  first/desk.json', '  config.letters.#  first/letters.json', '  config  first/root.json', '']);
		const edited = {...folder, 'rules/letters.yaml': letters.replace('name: letters', 'name: all letters')};
		const second = await run(['seal', 'rules', '--follows', 'first', '--output', 'second'], {...edited, ...first.written});
		assert.match(second.out, /:\n {2}config\.letters\.[\da-f]{16} {2}second\/letters\.json\n {2}config {2}second\/root\.json\n1 other parts/);
		assert.equal(checkSeal(second.written['second/root.json']!)._unsafeUnwrap().edition, 2);
		const whole = await run(['check', 'second'], second.written);
		assert.equal(whole.code, 0, whole.out);
		const older = await run(['check', 'second'], {...second.written, 'second/letters.json': first.written['first/letters.json']!});
		assert.match(older.out, /second\/letters\.json is not the part "letters" that this sealed root names; seal the folder again/);
		const undone = await run(['seal', 'first', '--follows', 'second', '--output', 'third'], {...first.written, ...second.written});
		assert.match(undone.out, /config\.letters\./);
	});

	it('splits a document into a folder with the same meaning', async () => {
		const split = await run(['split', 'a.yaml', '--entries', '2', '--output', 'folder'], files);
		assert.match(split.out, /a root and \d+ parts are in folder; edit them there, then "banyanport seal folder/);
		const diff = await run(['diff', 'a.yaml', 'folder'], {...files, ...split.written});
		assert.match(diff.out, /^0 of/);
		const faults = await run(['split', 'faulty.yaml', '--output', 'folder'], files);
		assert.equal(faults.code, 1);
	});

	it('refuses YAML that is too large for hosts, and converts it to JSON that they read', async () => {
		const large = {'large.yaml': `${`# ${'x'.repeat(98)}\n`.repeat(700)}${naslovnik}`};
		for (const command of ['check', 'seal']) {
			const {code, out, errors} = await run([command, 'large.yaml'], large);
			assert.equal(code, 1);
			assert.match(out + errors, /publish it as JSON, written by "banyanport seal --to json"/);
		}

		const sealed = await run(['seal', 'large.yaml', '--to', 'json', '--output', 'sealed.json'], large);
		const checked = await run(['check', 'sealed.json'], sealed.written);
		assert.equal(checked.code, 0);
	});

	it('refuses a document that the platform cannot hold', async () => {
		const sealed = await run(['seal', 'a.yaml', '--to', 'json', '--output', 'sealed.json'], files);
		const large = sealed.written['sealed.json']!.replace('{', `{${' '.repeat(1_048_576)}`);
		for (const command of ['check', 'seal']) {
			const {code, out, errors} = await run([command, 'large.json'], {'large.json': large});
			assert.equal(code, 1);
			assert.match(out + errors, /bytes and the platform holds 1048576/);
		}
	});

	it('fetches from a real operators\' port, and reports a missing token', async () => {
		const started = await startOperatorServer({
			bind: '127.0.0.1', port: 0, readiness: () => ({ready: true, reasons: []}), metrics: () => '', status: () => ({edition: 4}), token: 'a-token-of-operators',
		});
		const server = started._unsafeUnwrap();
		const options = {caFile: undefined, timeoutMs: 5000};
		try {
			const host = `127.0.0.1:${server.port}`;
			const refused = await createProcessIo().fetchJson(host, '/status', options);
			assert.match(refused._unsafeUnwrapErr().message, /set BANYANPORT_OPERATOR_TOKEN/);
			process.env.BANYANPORT_OPERATOR_TOKEN = 'a-token-of-operators';
			const status = await createProcessIo().fetchJson(host, '/status', options);
			assert.deepEqual(status._unsafeUnwrap(), {edition: 4});
			const missing = await createProcessIo().fetchJson(host, '/slo', options);
			assert.match(missing._unsafeUnwrapErr().message, /answers 404 to \/slo/);
			assert.equal(missing._unsafeUnwrapErr().status, 404);
		} finally {
			delete process.env.BANYANPORT_OPERATOR_TOKEN;
			await server.close(1000);
		}

		const gone = await createProcessIo().fetchJson(`127.0.0.1:${server.port}`, '/status', options);
		assert.match(gone._unsafeUnwrapErr().message, /nothing listens there/);
	});

	it('exits as a process with the exit code of the command, and shows no stack trace', () => {
		const main = fileURLToPath(new URL('../main.js', import.meta.url));
		const {status, stderr, stdout} = spawnSync(process.execPath, [main, 'check', 'no-such-file.yaml'], {encoding: 'utf8', timeout: 60_000});
		assert.equal(status, 3);
		assert.equal(stdout, '');
		assert.equal(stderr, 'no-such-file.yaml can\'t be read: there is no such file: check the path\n');
	});
});
