/**
 * Demonstrates the whole request path on stand-ins: starts a small fleet of
 * separate processes, sends requests and describes how each was served. Exits with
 * code 0 when every check passed and every process stopped with code 0.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {v7 as createKey} from 'uuid';
import {expectedAnswer} from '../stand-ins/engine/index.js';
import {startDemoFleet, type DemoHost} from './_lib/start-demo-fleet.js';
import {describeRequest} from './_lib/describe-request.js';

const logSettleMs = 200;
const shownCharacters = 100;
let failedChecks = 0;

type Answer = {
	status: number;
	requestId: string;
	text: string;
};

type Call = {
	path: string;
	body?: Record<string, unknown>;
	headers?: Record<string, string>;
};

async function call(host: DemoHost, {path, body, headers}: Call): Promise<Answer> {
	const res = await request(host.callerUrl + path, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {'content-type': 'application/json', 'x-workspace': 'odvetniki-breg', ...headers},
		...(body !== undefined && {body: JSON.stringify(body)}),
	});
	const {'x-request-id': requestId} = res.headers;
	return {status: res.statusCode, requestId: String(requestId), text: await res.body.text()};
}

/** Returns the text of a completion, received in one piece or as server-sent events. */
function toCompletionText(answer: string): string {
	const documents = answer.startsWith('data:')
		? answer.split('\n\n').map(event => event.replace(/^data: /v, '')).filter(data => data.startsWith('{'))
		: [answer];
	return documents
		.map(text => JSON.parse(text) as {choices?: Array<{text?: string}>})
		.map(document => document.choices?.[0]?.text ?? '')
		.join('');
}

function expect(isTrue: boolean, what: string): void {
	console.log(`   ${isTrue ? 'ok  ' : 'FAIL'} ${what}`);
	failedChecks += isTrue ? 0 : 1;
}

async function runScenario(title: string, host: DemoHost, input: Call, check: (answer: Answer) => void): Promise<void> {
	console.log(`\n${title}\n   to the host in ${host.zone}`);
	const answer = await call(host, input);
	// The entry writes the final log line of a request just after the answer.
	await sleep(logSettleMs);
	for (const sentence of describeRequest(host.entry.logs().filter(line => line.requestId === answer.requestId))) {
		console.log(`   ${sentence}`);
	}

	console.log(`   answer (${answer.status}): ${answer.text.replaceAll(/\s+/gv, ' ').slice(0, shownCharacters)}${answer.text.length > shownCharacters ? ' ...' : ''}`);
	check(answer);
}

async function sendRequests([first, second]: readonly DemoHost[]): Promise<void> {
	const question = 'Which mailbox does parcel 4711 go to?';
	const letter = 'Dear tenant, your address will be extended by a year. '.repeat(40);
	const model = 'letter-summary';
	const wholeLetter = expectedAnswer(letter, 24).join('');

	await runScenario('A question at the counter', first!, {
		path: '/v1/completions', headers: {'x-service-class': 'quick'}, body: {model, prompt: question, max_tokens: 12},
	}, answer => {
		expect(toCompletionText(answer.text) === expectedAnswer(question, 12).join(''), 'the whole answer to its own question');
	});

	const key = createKey();
	const summary = {
		path: '/v1/completions', headers: {'idempotency-key': key}, body: {
			model, prompt: letter, max_tokens: 24, stream: true,
		},
	};
	await runScenario('A letter, streamed, with an idempotency key', second!, summary, answer => {
		expect(toCompletionText(answer.text) === wholeLetter && answer.text.includes('[DONE]'), 'every token, in order, to the end');
	});
	await runScenario('The same letter with the same key, at the other host', first!, summary, answer => {
		expect(toCompletionText(answer.text) === wholeLetter, 'the kept answer, whole');
		const attempts = first!.entry.logs().filter(line => line.requestId === answer.requestId && line.message === 'attempt started');
		expect(attempts.length === 0, 'no attempt was made');
	});
	await runScenario('A mailbox lookup at the plain service', first!, {path: '/desk/mailbox', body: {box: 4711}}, answer => {
		expect(answer.status === 200 && answer.text.includes('4711'), 'passed through');
	});
	await runScenario('A request with a fault in it', second!, {path: '/v1/completions', body: {model, prompt: 7}}, answer => {
		expect(answer.status === 400 && answer.text.includes('not-run'), 'refused before any attempt, with outcome not-run');
	});
}

console.log('Starting a platform, four model engines, two plain services and two hosts (agent and entry each) ...');
const fleet = await startDemoFleet();

try {
	await sendRequests(fleet.hosts);
} finally {
	console.log('\nStopping everything ...');
	const failed = await fleet.stop();
	expect(failed.length === 0, failed.length === 0 ? 'every process stopped with exit code 0' : `processes with another exit code than 0: ${failed.join(', ')}`);
}

console.log(failedChecks === 0 ? '\nThe whole path works. Next: docs/RULES.md to write rules, docs/OPERATIONS.md to run it.' : `\n${failedChecks} checks failed; the lines marked FAIL say which.`);
process.exitCode = failedChecks === 0 ? 0 : 1;
