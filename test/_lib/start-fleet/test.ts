/**
 * Tests of the test fleet: a complete fleet serves requests, and a cut acts like a
 * network partition: each side continues with its own servers, nothing crosses the
 * cut, and the sides work together again after it is healed.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {expectedAnswer} from '../../stand-ins/engine/index.js';
import {waitUntil} from '../wait-until/index.js';
import {startFleet, type FleetHost} from './index.js';

const prompt = 'Spoštovani, kje je moj paket? '.repeat(10);
const maxTokens = 12;

const ask = async (host: FleetHost) => {
	const answer = await fetch(`${host.callerUrl}/v1/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json', 'x-workspace': 'kavarna-lipa', 'x-service-class': 'quick'},
		body: JSON.stringify({model: 'post-summary', prompt, max_tokens: maxTokens}),
		signal: AbortSignal.timeout(30_000),
	});
	const body = await answer.json() as {choices?: Array<{text: string}>};
	return {status: answer.status, requestId: answer.headers.get('x-request-id') ?? '', text: body.choices?.[0]?.text};
};

const trialModel = 'scene-translation';

const listModels = async (host: FleetHost): Promise<string[]> => {
	const answer = await fetch(`${host.callerUrl}/v1/models`, {headers: {'x-workspace': 'kavarna-lipa'}, signal: AbortSignal.timeout(10_000)});
	const body = await answer.json() as {data?: Array<{id: string}>};
	return (body.data ?? []).map(({id}) => id);
};

const hasTrial = async (host: FleetHost): Promise<boolean> => {
	const models = await listModels(host);
	return models.includes(trialModel);
};

const expectedText = expectedAnswer(prompt, maxTokens).join('');

describe('startFleet', () => {
	it('starts hosts, engines, plain services and a platform that serve requests together', async () => {
		const fleet = await startFleet();
		try {
			for (const host of fleet.hosts) {
				const {status, requestId, text} = await ask(host);
				assert.equal(status, 200);
				assert.equal(text, expectedText);
				assert.equal(fleet.judgeRequest(requestId).decodesFinished, 1);
				const desk = await fetch(`${host.callerUrl}/desk/box/17`, {headers: {'x-workspace': 'kavarna-lipa'}});
				await desk.text();
				assert.equal(desk.status, 200);
			}

			await Promise.all(fleet.hosts.map(async host => host.stop()));
			assert.deepEqual(fleet.hosts.map(host => [host.agent().isRunning(), host.entry().isRunning()]), [[false, false], [false, false]]);
		} finally {
			await fleet.stop();
		}
	});

	it('cuts a zone off and heals the cut', async () => {
		const fleet = await startFleet({isCuttable: true});
		try {
			const [near, far] = [fleet.host('dvorana-a-1'), fleet.host('dvorana-b-1')];
			fleet.network.isolate('dvorana-b');
			const isFromOwnZone = async (host: FleetHost, zone: string): Promise<boolean> => {
				const {status, requestId, text} = await ask(host);
				const servers = [...fleet.engines.values()].filter(engine => engine.judgeRequest(requestId).decodesStarted + engine.judgeRequest(requestId).prefillsStarted > 0);
				// Whatever the answer is, no server on the other side of the cut may have worked on the request.
				assert.ok(servers.every(({id}) => id.startsWith(zone)));
				return status === 200 && text === expectedText;
			};

			for (const [host, zone] of [[near, 'dvorana-a'], [far, 'dvorana-b']] as const) {
				await waitUntil(async () => isFromOwnZone(host, zone), {deadlineMs: 30_000, what: `a correct answer in ${zone} during the cut`});
			}

			// The platform is on the near side, so a changed document reaches only that side.
			fleet.platform.publish('config', fleet.toConfigText({pools: [...fleet.pools, {name: 'trial', model: trialModel, classes: ['batch']}]}));
			await waitUntil(async () => hasTrial(near), {deadlineMs: 30_000, what: 'the changed document on the near side'});
			assert.deepEqual(await listModels(far), ['post-summary']);
			fleet.network.heal();
			await waitUntil(async () => hasTrial(far), {deadlineMs: 60_000, what: 'the changed document on the far side after the cut is healed'});
			const healed = await ask(far);
			assert.equal(healed.text, expectedText);
		} finally {
			await fleet.stop();
		}
	});
});
