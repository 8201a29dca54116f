/** Shared by the tests of what callers see of a fault: a fixture for one test, and queries on its engines. */
import {expectedAnswer, type EngineStandIn} from '../../stand-ins/engine/index.js';
import {waitUntil} from '../../_lib/wait-until/index.js';
import {startCallerFixture, type CallerFixture, type CallerFixtureOptions} from './caller-fixture.js';

export const prompt = 'Dear sir, your letter of May';
export const answerTokens = 60;
export const wholeAnswer = expectedAnswer(prompt, answerTokens).join('');
export const slowDecode = {decodeTokensPerSecond: 100};

/** Starts a fixture for one test and stops it afterwards. */
export async function withFixture(options: CallerFixtureOptions, use: (fixture: CallerFixture) => Promise<void>): Promise<void> {
	const fixture = await startCallerFixture(options);
	try {
		await use(fixture);
	} finally {
		await fixture.stop();
	}
}

export const listEngines = (fixture: CallerFixture): EngineStandIn[] => [fixture.prefill, ...fixture.decodes];
export const holdsStream = (engine: EngineStandIn): boolean => engine.judge().holds.some(hold => hold.kind === 'stream');
export const hasStream = (fixture: CallerFixture): boolean => fixture.decodes.some(engine => holdsStream(engine));
const countHolds = (fixture: CallerFixture): number => listEngines(fixture).reduce((sum, engine) => sum + engine.judge().holds.length, 0);

/** Waits until no engine of the fixture has a hold. */
export async function waitForRelease(fixture: CallerFixture): Promise<void> {
	await waitUntil(() => countHolds(fixture) === 0, {deadlineMs: 10_000, what: 'all holds on the engines to be released'});
}

/** Counts the decodes that the engines started for a request. */
export function countDecodes(fixture: CallerFixture, requestId: string): number {
	return fixture.decodes.reduce((sum, engine) => sum + engine.judgeRequest(requestId).decodesStarted, 0);
}
