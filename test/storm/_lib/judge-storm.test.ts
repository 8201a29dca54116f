/*
 * Guards against a judge that reports no violation whatever happens. Each verdict
 * is given evidence without a violation and evidence with the violation that it
 * exists for. Each excuse is given one case that it covers and one that it doesn't.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {judgeStorm, type Evidence} from './judge-storm.js';
import {
	callKinds, type Answer, type CallKind, type Reversion, type Sent, type InjectedFault, type Work,
} from './types.js';

const host = 'a-1';
const otherHost = 'b-1';
const zones = new Map([[host, 'a'], [otherHost, 'b'], ['b-2', 'b'], ['c-1', 'c']]);
const clockBoundMs = 3000;

const whole: Answer = {
	status: 200, requestId: 'r', text: 'answer', isClaimedWhole: true, isExpected: true, isBeginning: true, outcome: undefined, problem: undefined, isBroken: false, errorCode: undefined,
};
const broken: Answer = {
	...whole, isClaimedWhole: false, isExpected: false, isBroken: true,
};
const notRun: Answer = {
	...whole, status: 503, text: '', isClaimedWhole: false, isExpected: false, outcome: 'not-run', problem: 'no-capacity',
};

const toWork = (kind: CallKind): Work => ({
	id: `work of ${kind}`, kind, workspace: 'w', key: kind === 'question' || kind === 'desk lookup' ? undefined : `key of ${kind}`, maxTokens: 4, isStreamed: true,
});

/** Creates a call that lasts from 1000 to 2000 ms. */
const toCall = (kind: CallKind, answer: Partial<Answer> = {}, rest: Partial<Sent> = {}): Sent => ({
	work: toWork(kind), host, from: 1000, to: 2000, hasLeft: false, isHung: false, answer: {...whole, ...answer}, begunBefore: 0, begunAfter: undefined, begunAsRequest: undefined, ...rest,
});

const passing: Evidence = {
	sent: callKinds.map(kind => toCall(kind)),
	injectedFaults: [],
	runs: new Map(callKinds.map(kind => [toWork(kind).id, {
		begun: 1, prefills: 1, runs: 1, requestIds: ['r'],
	}])),
	holds: [],
	reversions: [],
	unexpectedDocuments: [],
	observationCount: 100,
	outdated: [],
	asked: 4,
	clockBoundMs,
	zones,
};

const withCalls = (...calls: readonly Sent[]): Partial<Evidence> => ({sent: [...passing.sent.filter(({work}) => calls.every(call => call.work.id !== work.id)), ...calls]});

/** Creates another piece of work of the same kind, so that at least one of the kind was served. */
const another = (kind: CallKind): Sent => ({...toCall(kind), work: {...toWork(kind), id: `another ${kind}`}});

const withRuns = (kind: CallKind, counts: {begun?: number; prefills?: number; runs?: number; requestIds?: readonly string[]}): Partial<Evidence> => {
	const {id} = toWork(kind);
	return {runs: new Map([...passing.runs, [id, {...passing.runs.get(id)!, ...counts}]])};
};

const createFault = (kind: InjectedFault['kind'], targets: readonly string[], from = 1500, to = 1600): InjectedFault => ({
	kind, targets, from, to,
});

/** Returns the promises with violations and the number of excused cases. */
function judge(changes: Partial<Evidence>): {violated: string[]; excused: number} {
	const verdicts = judgeStorm({...passing, ...changes});
	return {
		violated: verdicts.filter(({violations}) => violations.length > 0).map(({promise}) => promise),
		excused: verdicts.reduce((sum, {excused}) => sum + excused, 0),
	};
}

const nonRepeatable = 'work that may run once only ran at most once';
const keyedRepeatable = 'a key of repeatable work was run once, but for lost hosts';
const texts = 'no key was answered whole with two texts';
const completeness = 'an answer that says it is whole is the whole answer to its request';
const brokenAnswers = 'no answer broke without a word, but for lost hosts';
const hanging = 'no call was left hanging';
const notRuns = 'what was told as not run was not run';
const held = 'nothing was held on any engine in the end';
const newest = 'the newest good configuration is in force on every host';
const older = 'no host showed an older configuration after a newer one';
const refused = 'no refused document was ever in force';
const served = 'some work of each kind was answered whole';

const reversion: Reversion = {
	host, program: 'agent', isSameLife: true, from: 'edit 2', to: 'edit 1', at: 1500,
};
const ranTwice = withRuns('letter', {requestIds: ['r', 's']});

describe('judgeStorm', () => {
	it('finds no violation in evidence without one', () => {
		assert.deepEqual(judge({}), {violated: [], excused: 0});
	});

	const faults: ReadonlyArray<[string, Partial<Evidence>, readonly string[]]> = [
		['a scene with two streams', withRuns('scene', {runs: 2}), [nonRepeatable]],
		['a scene with two prefills', withRuns('scene', {prefills: 2}), [nonRepeatable]],
		['a scene under two requests', withRuns('scene', {requestIds: ['r', 's']}), [nonRepeatable]],
		['a desk change that was made twice', withRuns('desk change', {runs: 2}), [nonRepeatable]],
		['a keyed letter under two requests', ranTwice, [keyedRepeatable]],
		['two whole texts for one key', withCalls(toCall('letter'), toCall('letter', {text: 'other'})), [texts]],
		['a partial answer that claims to be complete', withCalls(toCall('question', {isExpected: false, text: 'ans'}), toCall('question')), [completeness]],
		['tokens of another answer in a broken one', withCalls(toCall('letter', {
			...broken, isBeginning: false, outcome: 'ran', isBroken: false,
		}), toCall('letter')), [completeness]],
		['tokens of another answer before the caller left', withCalls(toCall('letter', {...broken, isBeginning: false}, {hasLeft: true}), toCall('letter')), [completeness]],
		['an answer that broke off without an outcome', withCalls(toCall('letter', broken), toCall('letter')), [brokenAnswers]],
		['an answer in one piece that broke when its key was sent again', withCalls(toCall('desk change', broken), toCall('desk change', {}, {host: otherHost})), [brokenAnswers]],
		['a call that was left open', withCalls(toCall('letter', broken, {isHung: true}), toCall('letter')), [hanging]],
		['"not run" of a question that was begun', withCalls(toCall('question', notRun, {begunAfter: 1, begunAsRequest: 1}), another('question')), [notRuns]],
		['"not run" of a lookup that the desk got', withCalls(toCall('desk lookup', notRun, {begunAfter: 1}), another('desk lookup')), [notRuns]],
		['"not run" of a scene that ran before', withCalls(toCall('scene', {}, {from: 0, to: 500}), toCall('scene', notRun, {begunBefore: 1, begunAfter: 1, begunAsRequest: 0})), [notRuns]],
		['"not run" of a scene that ran for this call alone', withCalls(toCall('scene', notRun, {begunAfter: 1, begunAsRequest: 0}), toCall('scene', {}, {from: 3000, to: 4000})), [notRuns]],
		['memory that is still held', {holds: ['a stream']}, [held]],
		['a host without the newest edit', {outdated: ['agent of a-1']}, [newest]],
		['a process that returns to an older edit', {reversions: [reversion]}, [older]],
		['a refused document in force', {unexpectedDocuments: ['agent of a-1']}, [refused]],
		['a kind of which no call was answered whole', {sent: passing.sent.filter(({work}) => work.kind !== 'scene')}, [served]],
	];
	for (const [name, changes, violated] of faults) {
		it(`reports ${name}`, () => {
			assert.deepEqual(judge(changes), {violated, excused: 0});
		});
	}

	it('is tested with a violation of each of its verdicts', () => {
		assert.deepEqual(
			judgeStorm(passing).map(({promise}) => promise).sort(),
			[...new Set(faults.flatMap(fault => fault[2]))].sort(),
		);
	});

	it('counts the cases that it examined', () => {
		assert.ok(judgeStorm({...passing, ...withCalls(toCall('scene', {}), toCall('question', notRun, {begunAfter: 0}))}).every(({checked}) => checked > 0));
	});
});

const claimRefused: Partial<Answer> = {...notRun, outcome: 'may-have-run', problem: 'urn:banyanport:problem:claim-unavailable'};
const threeHosts = {zones: new Map([[host, 'a'], [otherHost, 'b'], ['c-1', 'c']])};

/** Evidence of a fleet of three hosts in which no scene was answered whole. */
const toScenes = (...calls: readonly Sent[]): Partial<Evidence> => ({...withCalls(...calls), ...threeHosts});
const refusedScene = toCall('scene', claimRefused);

const claimExcuses: ReadonlyArray<[string, Partial<Evidence>, InjectedFault[], boolean]> = [
	['scenes that found no claim while a zone was cut off', toScenes(refusedScene), [createFault('cut zone off', ['b'])], true],
	['scenes that found no claim while a host was paused', toScenes(refusedScene), [createFault('pause host', ['c-1'])], true],
	['scenes that found no claim while a host had a twin', toScenes(refusedScene), [createFault('twin host', ['c-1'])], true],
	['scenes that found no claim with all hosts there', toScenes(refusedScene), [], false],
	['scenes that found no claim before a zone was cut off', toScenes(refusedScene), [createFault('cut zone off', ['b'], 2100, 2200)], false],
	['scenes that found no claim after a cut had healed', toScenes(refusedScene), [createFault('cut zone off', ['b'], 0, 900)], false],
	['scenes that found no claim soon after a host was killed', toScenes(refusedScene), [createFault('kill host', ['b-1'], 0, 900)], true],
	['scenes that found no claim while an engine crashed', toScenes(refusedScene), [createFault('crash engine', ['a-decode-1'])], false],
	['scenes of which one found no claim with all hosts there', toScenes(refusedScene, toCall('scene', claimRefused, {from: 9000, to: 9500})), [createFault('cut zone off', ['b'])], false],
	['scenes that were refused otherwise while a zone was cut off', toScenes(toCall('scene', notRun)), [createFault('cut zone off', ['b'])], false],
	['scenes whose callers all left while a zone was cut off', toScenes(toCall('scene', claimRefused, {hasLeft: true})), [createFault('cut zone off', ['b'])], false],
	['scenes that found no claim in a larger fleet while a zone was cut off', withCalls(refusedScene), [createFault('cut zone off', ['b'])], false],
	['questions that found no claim while a zone was cut off', toScenes(toCall('question', claimRefused)), [createFault('cut zone off', ['b'])], false],
];

describe('judgeStorm: excuses', () => {
	const brokenCall = withCalls(toCall('letter', broken), toCall('letter'));
	const unanswered = withCalls(toCall('letter', {...broken, status: 0}), toCall('letter'));
	const newLife = {reversions: [{...reversion, isSameLife: false}]};
	const excuses: ReadonlyArray<[string, Partial<Evidence>, InjectedFault[], boolean]> = [
		['an answer of a host that was killed', brokenCall, [createFault('kill host', [host])], true],
		['an answer of an entry that was killed', brokenCall, [createFault('kill entry', [host])], true],
		['an answer of a host whose agent alone was killed', brokenCall, [createFault('kill agent', [host])], false],
		['an answer of a host that was only paused', brokenCall, [createFault('pause host', [host])], false],
		['an answer while another host was killed', brokenCall, [createFault('kill host', [otherHost])], false],
		['an answer after its host was killed', brokenCall, [createFault('kill host', [host], 0, 900)], false],
		['an answer while its engine crashed', brokenCall, [createFault('crash engine', ['a-decode-1'])], false],
		['an answer while its streams broke', brokenCall, [createFault('break streams', ['a-decode-1'])], false],
		['an answer that began at a host that was stopping', brokenCall, [createFault('restart host', [host], 900, 5000)], false],
		['a call to the closed port of a host that was stopping', unanswered, [createFault('restart host', [host], 900, 5000)], true],
		['a call that came before its host was stopped', unanswered, [createFault('restart host', [host], 1100, 5000)], false],
		['a key that ran twice when its host was paused', ranTwice, [createFault('pause host', [host])], true],
		['a key that ran twice when one other host was killed', ranTwice, [createFault('kill host', ['c-1'])], false],
		['a key that ran twice when two other hosts were away', ranTwice, [createFault('kill host', ['c-1']), createFault('kill entry', ['b-2'], 0, 900)], true],
		['a key that ran twice when its zone was cut from another', ranTwice, [createFault('cut zones one way', ['b', 'a'])], true],
		['a key that ran twice when other zones were cut apart', ranTwice, [createFault('cut zones apart', ['b', 'c'])], false],
		['a key that ran twice when its zone was cut from the platform', ranTwice, [createFault('cut zone from platform', ['a'])], false],
		['an older edit in a new process while the platform served one', newLife, [createFault('old platform', ['platform'])], true],
		['an older edit in the same process while the platform served one', {reversions: [reversion]}, [createFault('old platform', ['platform'])], false],
		['an older edit in a new process with all in reach', newLife, [createFault('old platform', ['platform'], 0, 1400)], false],
		['an older edit in a new process while the platform was down', newLife, [createFault('platform down', ['platform'])], false],
		['an older edit in a new process in a zone without the platform', newLife, [createFault('cut zone from platform', ['a'])], true],
		['an older edit in a new process while other zones were cut apart', newLife, [createFault('cut zones apart', ['b', 'c'])], false],
	];
	for (const [name, changes, injectedFaults, isExcused] of [...excuses, ...claimExcuses]) {
		it(`${isExcused ? 'excuses' : 'does not excuse'} ${name}`, () => {
			const {violated, excused} = judge({...changes, injectedFaults});
			assert.deepEqual([violated.length, excused], isExcused ? [0, 1] : [1, 0]);
		});
	}
});

describe('judgeStorm: work of which no call was answered whole', () => {
	const brokenScene = toCall('scene', {...broken, status: 0, text: ''});
	const lostRun: Partial<Answer> = {...notRun, outcome: 'may-have-run', problem: 'urn:banyanport:problem:answer-lost'};
	const joinedScene = toCall('scene', lostRun, {host: otherHost});
	const takenOverScene = toCall('scene', {...lostRun, problem: 'urn:banyanport:problem:key-used'});
	const refusedOther = {...refusedScene, work: {...toWork('scene'), id: 'refused scene'}};
	const cases: ReadonlyArray<[string, Partial<Evidence>, InjectedFault[], boolean]> = [
		['scenes whose run ended when its host was killed', toScenes(refusedOther, takenOverScene, joinedScene), [createFault('kill entry', [host])], true],
		['scenes whose run was lost while another host was killed', toScenes(refusedOther, takenOverScene, joinedScene), [createFault('kill entry', ['c-1'])], false],
		['scenes whose run was lost before its host was killed', toScenes(refusedOther, ...[takenOverScene, joinedScene].map(call => ({...call, from: 0, to: 900}))), [createFault('kill entry', [host]), createFault('cut zone off', ['b'])], false],
		['scenes whose run was lost while its host was paused', toScenes(refusedOther, takenOverScene, joinedScene), [createFault('pause host', [host])], false],
		['scenes that did not run while their host was killed', toScenes(refusedOther, toCall('scene', notRun)), [createFault('kill entry', [host])], false],
		['scenes that found no claim or broke at a host that was killed', toScenes(refusedScene, brokenScene), [createFault('kill entry', [host])], true],
		['scenes that found no claim or broke at a host that was not killed', toScenes(refusedScene, brokenScene), [createFault('pause host', ['c-1'])], false],
		['scenes that found no claim or broke before their host was killed', toScenes(refusedScene, {...brokenScene, from: 0, to: 500}), [createFault('kill entry', [host])], false],
		['scenes that found no claim in a larger fleet or broke at a host that was killed', withCalls(refusedScene, brokenScene), [createFault('kill entry', [host])], false],
		['scenes that all broke at a host that was killed', toScenes(brokenScene), [createFault('kill entry', [host])], false],
	];
	for (const [name, changes, injectedFaults, isExcused] of cases) {
		it(`${isExcused ? 'excuses' : 'does not excuse'} ${name}`, () => {
			const verdict = judgeStorm({...passing, ...changes, injectedFaults}).find(({promise}) => promise === served)!;
			assert.deepEqual([verdict.violations.length, verdict.excused], isExcused ? [0, 1] : [1, 0]);
		});
	}
});
