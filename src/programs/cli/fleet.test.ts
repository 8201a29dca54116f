/**
 * Runs the commands that query hosts against a real agent and entry. Their output
 * must match a request that was served just before.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {startFleet} from '../../../test/_lib/start-fleet/index.js';
import {createProcessIo} from './_lib/create-process-io.js';
import {runCli} from './run-cli/index.js';

/** Runs a command line on real hosts and collects what it writes. */
async function run(args: readonly string[]): Promise<{code: number; out: string; errors: string}> {
	const lines = {out: '', errors: ''};
	const code = await runCli(args, {
		...createProcessIo(),
		write(text) {
			lines.out += text;
		},
		writeError(text) {
			lines.errors += text;
		},
	});
	return {code, ...lines};
}

async function sendRequest(callerUrl: string): Promise<string> {
	const answer = await fetch(`${callerUrl}/v1/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json', 'x-workspace': 'kavarna-lipa', 'x-service-class': 'quick'},
		body: JSON.stringify({model: 'post-summary', prompt: 'Kje je moj paket?', max_tokens: 4}),
		signal: AbortSignal.timeout(30_000),
	});
	await answer.text();
	assert.equal(answer.status, 200);
	return answer.headers.get('x-request-id') ?? '';
}

describe('banyanport on a fleet', () => {
	it('shows status, burn rates and the account of a request', {timeout: 120_000}, async () => {
		const fleet = await startFleet({zones: ['dvorana-a']});
		try {
			const [host] = fleet.hosts;
			const requestId = await sendRequest(host!.callerUrl);
			const {entryOperatorUrl: entry, agentOperatorUrl: agent} = host!;

			const status = await run(['status', entry, agent]);
			assert.equal(status.code, 0, status.errors);
			assert.match(status.out, /edition/);

			const account = await run(['account', requestId, entry, '--json']);
			assert.equal(account.code, 0, account.errors);
			assert.match(account.out, /"questions"/, 'the rule that decided is named');
			const unknown = await run(['account', 'no-such-request', entry]);
			assert.equal(unknown.code, 1, unknown.errors);

			const burn = await run(['slo', entry]);
			assert.equal(burn.code, 0, burn.errors);
			assert.match(burn.out, new RegExp(`Burn of 1 host: ${host!.id}`));
			assert.match(burn.out, /quick/);

			await host!.stop();
			const gone = await run(['status', entry]);
			assert.equal(gone.code, 3);
			assert.match(gone.errors, /nothing listens there/);
		} finally {
			await fleet.stop();
		}
	});
});
