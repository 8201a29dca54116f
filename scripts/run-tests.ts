/**
 * Runs every test file of the tree. Only failures listed in `KNOWN-RED.txt` are
 * passed over. Files are listed from the sources, so that the build output of a
 * deleted test is never run.
 *
 * Usage: `node dist/scripts/run-tests.js [path fragment ...]` runs the files
 * whose path contains one of the fragments. With `--properties` before them,
 * only files with properties of fast-check run. The inputs of the properties
 * come from one seed, see `use-test-seed.ts`.
 */
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';

const fileTimeoutMs = 600_000;
const concurrentFiles = 4;

type KnownRed = {
	test: string;
	/** Part of the path of the test's file, from an entry whose command is `npm test -- PART`; an entry of another command passes over nothing here. */
	file: string | undefined;
	line: string;
};

/** Each line of `KNOWN-RED.txt` reads `test name | cause | issue | command`. */
function readKnownRed(): readonly KnownRed[] {
	if (!existsSync('KNOWN-RED.txt')) {
		return [];
	}

	return readFileSync('KNOWN-RED.txt', 'utf8')
		.split('\n')
		.filter(line => line.trim() !== '')
		.map(line => ({test: line.split('|')[0]!.trim(), file: /\| npm test -- (?<file>[\w\-\/.]+)$/v.exec(line)?.groups?.file, line}));
}

const hasProperties = (file: string): boolean => readFileSync(file, 'utf8').includes('fc.assert');

function listTestFiles(fragments: readonly string[], {onlyProperties}: {onlyProperties: boolean}): string[] {
	const sources = ['src', 'test', 'scripts'].flatMap(root =>
		readdirSync(root, {recursive: true, encoding: 'utf8'}).map(file => path.join(root, file)));
	return sources
		.filter(file => path.basename(file) === 'test.ts' || file.endsWith('.test.ts'))
		.filter(file => fragments.length === 0 || fragments.some(fragment => file.includes(fragment)))
		.filter(file => !onlyProperties || hasProperties(file))
		.map(file => path.join('dist', file.replace(/\.ts$/v, '.js')))
		.sort();
}

const knownRed = readKnownRed();
const fragments = process.argv.slice(2).filter(argument => !argument.startsWith('--'));
const files = listTestFiles(fragments, {onlyProperties: process.argv.includes('--properties')});
const passedOver: string[] = [];
let passed = 0;
let failed = 0;

if (files.length === 0) {
	console.error('No test file matches. Give a fragment of a path, such as "rules", or nothing to run them all.');
	process.exit(1);
}

// The runner starts each file with the arguments of this process.
process.execArgv.push('--import', new URL('use-test-seed.js', import.meta.url).href);
const stream = run({files, concurrency: concurrentFiles, timeout: fileTimeoutMs});

stream.on('test:pass', event => {
	if (event.details.type !== 'suite') {
		passed++;
	}
});

stream.on('test:fail', event => {
	const known = knownRed.find(({test, file}) => test === event.name && file !== undefined && event.file?.includes(file));
	if (known) {
		passedOver.push(known.line);
		return;
	}

	// A suite fails because a test in it does; the failure is counted once, at the test.
	const {type, error} = event.details as {type?: string; error?: Error & {failureType?: string}};
	const isOnlyAncestor = error?.failureType === 'subtestsFailed';
	if (type !== 'suite' || !isOnlyAncestor) {
		failed += isOnlyAncestor ? 0 : 1;
	}
});

stream.pipe(new SpecReporter()).pipe(process.stdout);

stream.on('end', () => {
	for (const line of passedOver) {
		console.log(`KNOWN RED, passed over: ${line}`);
	}

	console.log(`${passed} passed, ${failed} failed`);
	process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
});
