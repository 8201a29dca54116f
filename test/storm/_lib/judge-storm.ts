/** Compares what callers were told with what the stand-ins counted. Only safety is judged; the report states how much was served. */
import {type Runs} from './count-runs.js';
import {
	callKinds, type CallKind, type FaultKind, type Reversion, type Sent, type Span, type InjectedFault,
} from './types.js';

export type Verdict = {
	promise: string;
	/** Number of cases examined. */
	checked: number;
	violations: readonly string[];
	/** Number of cases that a fault permits and that would be violations without it. */
	excused: number;
};

export type Evidence = {
	sent: readonly Sent[];
	injectedFaults: readonly InjectedFault[];
	/** Counts of each piece of work, by its id. */
	runs: ReadonlyMap<string, Runs>;
	/** What engines still held when the deadline for release had passed. */
	holds: readonly string[];
	reversions: readonly Reversion[];
	unexpectedDocuments: readonly string[];
	observationCount: number;
	/** Programs that did not show the newest good configuration in the end. */
	outdated: readonly string[];
	/** Number of programs asked for their configuration. */
	asked: number;
	/** Time after its restart for which a killed host vouches for no key. */
	clockBoundMs: number;
	/** The zone of each host. */
	zones: ReadonlyMap<string, string>;
};

type Case = {what: string; isWrong: boolean; isExcused?: boolean};

const killKinds: ReadonlySet<FaultKind> = new Set(['kill entry', 'kill host']);
const hostLossKinds: ReadonlySet<FaultKind> = new Set([...killKinds, 'pause entry', 'pause host']);
const pairCutKinds: ReadonlySet<FaultKind> = new Set(['cut zones apart', 'cut zones one way']);
const oldPlatformKinds: ReadonlySet<FaultKind> = new Set(['stale platform', 'old platform']);
const stateLossKinds: ReadonlySet<FaultKind> = new Set([...killKinds, 'restart host', 'twin host']);
const nonRepeatableKinds: ReadonlySet<CallKind> = new Set(['scene', 'desk change']);
const claimRefusals: ReadonlySet<string> = new Set(['claim-unavailable', 'no-configuration'].map(name => `urn:banyanport:problem:${name}`));

/** In a fleet of at most this many hosts, a claim needs all of them. */
const maxHostsAllClaiming = 3;
const shownViolations = 20;

const isOverlapping = (a: Span, b: Span): boolean => a.from <= b.to && b.from <= a.to;

function toVerdict(promise: string, cases: readonly Case[]): Verdict {
	const wrong = cases.filter(({isWrong}) => isWrong);
	const violations = wrong.filter(({isExcused = false}) => !isExcused);
	return {
		promise, checked: cases.length, violations: violations.slice(0, shownViolations).map(({what}) => what), excused: wrong.length - violations.length,
	};
}

function groupByWork(sent: readonly Sent[]): ReadonlyArray<readonly Sent[]> {
	const groups = new Map<string, Sent[]>();
	for (const call of sent) {
		groups.set(call.work.id, [...groups.get(call.work.id) ?? [], call]);
	}

	return [...groups.values()];
}

/** Whether a fault separates a zone from at least one other zone. A zone cut off is out of reach for all others. */
function isZoneCut(zone: string | undefined, {kind, targets}: InjectedFault): boolean {
	return kind === 'cut zone off' || (pairCutKinds.has(kind) && targets.includes(zone!));
}

function toSpan(calls: readonly Sent[]): Span {
	return {from: Math.min(...calls.map(({from}) => from)), to: Math.max(...calls.map(({to}) => to))};
}

function describeCall({work, host, answer, hasLeft, begunBefore, begunAfter, begunAsRequest}: Sent): string {
	return JSON.stringify({
		work, host, hasLeft, begunBefore, begunAfter, begunAsRequest, answer: {...answer, text: answer.text.slice(0, 60)},
	});
}

const getRuns = ({runs}: Evidence, [first]: readonly Sent[]): Runs => runs.get(first!.work.id) ?? {
	begun: 0, prefills: 0, runs: 0, requestIds: [],
};

function judgeNonRepeatable(evidence: Evidence, works: ReadonlyArray<readonly Sent[]>): Verdict {
	const once = works.filter(([first]) => nonRepeatableKinds.has(first!.work.kind));
	return toVerdict('work that may run once only ran at most once', once.map(calls => {
		const runs = getRuns(evidence, calls);
		return {
			isWrong: runs.runs > 1 || runs.prefills > 1 || runs.requestIds.length > 1,
			what: `${JSON.stringify(runs)}: ${calls.map(call => describeCall(call)).join(', ')}`,
		};
	}));
}

/**
 * Repeatable work with a key is run again when its host is lost. While too few
 * hosts are in reach, a host runs the work without asking the others.
 */
function judgeKeyedRepeatable(evidence: Evidence, works: ReadonlyArray<readonly Sent[]>): Verdict {
	const keyed = works.filter(([first]) => first!.work.kind === 'letter' && first!.work.key !== undefined);
	return toVerdict('a key of repeatable work was run once, but for lost hosts', keyed.map(calls => {
		const runs = getRuns(evidence, calls);
		const span = toSpan(calls);
		const asked = new Set(calls.map(({host}) => host));
		const lost = evidence.injectedFaults.filter(({kind}) => hostLossKinds.has(kind) || kind === 'restart host');
		const isOwnLost = lost.some(fault => asked.has(fault.targets[0]!) && isOverlapping(fault, span));
		const isCut = evidence.injectedFaults.some(fault => isOverlapping(fault, span) && [...asked].some(host => isZoneCut(evidence.zones.get(host), fault)));
		const away = new Set(lost.filter(fault => isOverlapping({...fault, to: fault.to + evidence.clockBoundMs}, span)).map(({targets}) => targets[0]));
		return {
			isWrong: runs.requestIds.length > 1,
			isExcused: isOwnLost || isCut || away.size > 1,
			what: `${JSON.stringify(runs)}: ${calls.map(call => describeCall(call)).join(', ')}`,
		};
	}));
}

function judgeTexts(works: ReadonlyArray<readonly Sent[]>): Verdict {
	const keyed = works.filter(([first]) => first!.work.key !== undefined);
	return toVerdict('no key was answered whole with two texts', keyed.map(calls => {
		const texts = new Set(calls.filter(({answer}) => answer.isClaimedWhole).map(({answer}) => answer.text));
		return {isWrong: texts.size > 1, what: calls.map(call => describeCall(call)).join(', ')};
	}));
}

/** An incomplete answer is judged too: its text must be a prefix of the answer, without tokens of another request. */
function judgeCompleteness(sent: readonly Sent[]): Verdict {
	const begun = sent.filter(({answer}) => answer.isClaimedWhole || answer.text !== '');
	return toVerdict('an answer that says it is whole is the whole answer to its request', begun.map(call => ({
		isWrong: !call.answer.isBeginning || (call.answer.isClaimedWhole && !call.answer.isExpected), what: describeCall(call),
	})));
}

/** Whether the host of a call was killed during the call, or had closed its port before it. */
function isHostLost(call: Sent, injectedFaults: readonly InjectedFault[]): boolean {
	const own = injectedFaults.filter(({targets}) => targets[0] === call.host);
	const isKilled = own.some(fault => killKinds.has(fault.kind) && isOverlapping(fault, call));
	// A load balancer sends no calls to a stopping host; a call that arrives there anyway finds the port closed.
	const isPortClosed = call.answer.status === 0 && own.some(fault => fault.kind === 'restart host' && fault.from <= call.from && call.from <= fault.to);
	return isKilled || isPortClosed;
}

function judgeBrokenAnswers({sent, injectedFaults}: Evidence): Verdict {
	const stayed = sent.filter(({hasLeft}) => !hasLeft);
	return toVerdict('no answer broke without a word, but for lost hosts', stayed.map(call => ({
		isWrong: call.answer.isBroken && !call.isHung, isExcused: isHostLost(call, injectedFaults), what: describeCall(call),
	})));
}

/** Whether no other call could have started the work between the `not-run` answer and the count. */
function isOnlyActiveCall(call: Sent, calls: readonly Sent[]): boolean {
	return calls.every(other => other === call || (other.to < call.from && !other.answer.isBroken) || other.from > call.to);
}

function judgeNotRun(works: ReadonlyArray<readonly Sent[]>): Verdict {
	const cases = works.flatMap(calls => calls.filter(({answer}) => answer.outcome === 'not-run').map((call): Case => {
		const isRepeatable = !nonRepeatableKinds.has(call.work.kind);
		const isOwnRun = (call.begunAsRequest ?? 0) > 0;
		// For work that may run only once, `not-run` refers to its key; for other work, to this call.
		const isKeyRun = !isRepeatable && (call.begunBefore > 0 || (isOnlyActiveCall(call, calls) && (call.begunAfter ?? 0) > 0));
		const isOnlyRun = calls.length === 1 && (call.begunAfter ?? 0) > 0;
		return {isWrong: isOwnRun || isKeyRun || isOnlyRun, what: describeCall(call)};
	}));
	return toVerdict('what was told as not run was not run', cases);
}

function describeEnd({from, to, host, hasLeft, answer}: Sent, begunAt: number): string {
	const end = hasLeft ? 'left' : `${answer.status} ${answer.problem ?? answer.errorCode ?? ''}`.trim();
	return `${host} ${Math.round(from - begunAt)} to ${Math.round(to - begunAt)} ms: ${end}`;
}

/** Time span in which a fault keeps a host from vouching for keys. A host that has lost its state vouches for none until the clock bound has passed. */
function toUnavailableSpan({kind, from, to}: InjectedFault, clockBoundMs: number): Span | undefined {
	if (stateLossKinds.has(kind)) {
		return {from, to: to + clockBoundMs};
	}

	const isOutOfReach = hostLossKinds.has(kind) || pairCutKinds.has(kind) || kind === 'cut zone off';
	return isOutOfReach ? {from, to} : undefined;
}

/** In a small fleet, work that may run only once is claimed at all hosts, and refused while one of them is unavailable. */
function isClaimRefused(call: Sent, {injectedFaults, zones, clockBoundMs}: Evidence): boolean {
	const away = injectedFaults.map(fault => toUnavailableSpan(fault, clockBoundMs)).filter(span => span !== undefined);
	return zones.size <= maxHostsAllClaiming && claimRefusals.has(call.answer.problem ?? '') && away.some(span => isOverlapping(span, call));
}

/** Whether a call may have joined, or given way to, a run of the same work that ended with its killed host. */
function isRunLost({work, answer}: Sent, {sent, injectedFaults}: Evidence): boolean {
	const calls = sent.filter(other => other.work.id === work.id);
	const asked = new Set(calls.map(({host}) => host));
	const isKilled = injectedFaults.some(fault => killKinds.has(fault.kind) && asked.has(fault.targets[0]!) && isOverlapping(fault, toSpan(calls)));
	return answer.outcome === 'may-have-run' && isKilled;
}

/** Whether no work of a kind could be answered: each of its calls was refused a claim, broke at a lost host, or lost its run with one. */
function isNeverServable(stayed: readonly Sent[], evidence: Evidence): boolean {
	const unserved = stayed.filter(call => !isClaimRefused(call, evidence));
	return unserved.length < stayed.length && unserved.every(call =>
		(call.answer.isBroken && isHostLost(call, evidence.injectedFaults)) || isRunLost(call, evidence));
}

function judgeServed(kind: CallKind, evidence: Evidence): Case {
	const begunAt = toSpan(evidence.sent).from;
	const calls = evidence.sent.filter(({work}) => work.kind === kind);
	const stayed = calls.filter(({hasLeft}) => !hasLeft);
	return {
		isWrong: !calls.some(({answer}) => answer.isExpected),
		isExcused: nonRepeatableKinds.has(kind) && isNeverServable(stayed, evidence),
		what: `no ${kind} was: ${calls.map(call => describeEnd(call, begunAt)).join(', ')}`,
	};
}

/** A restarted host has lost its state and learns only from the peers and the platform that it can reach. */
function judgeReversions({reversions, injectedFaults, observationCount, zones}: Evidence): Verdict {
	const hasLimitedView = ({host, at}: Reversion): boolean => injectedFaults.some(fault => isOverlapping(fault, {from: at, to: at})
		&& (oldPlatformKinds.has(fault.kind) || isZoneCut(zones.get(host), fault) || (fault.kind === 'cut zone from platform' && fault.targets[0] === zones.get(host))));
	const verdict = toVerdict('no host showed an older configuration after a newer one', reversions.map(reversion => ({
		isWrong: true,
		isExcused: !reversion.isSameLife && hasLimitedView(reversion),
		what: JSON.stringify(reversion),
	})));
	return {...verdict, checked: observationCount};
}

/**
 * Judges a storm that has ended and whose faults have been removed.
 *
 * @param evidence - What callers were told, which faults were injected, and what the stand-ins counted.
 * @returns One verdict for each promise.
 */
export function judgeStorm(evidence: Evidence): readonly Verdict[] {
	const {sent} = evidence;
	const works = groupByWork(sent);
	return [
		judgeNonRepeatable(evidence, works),
		judgeKeyedRepeatable(evidence, works),
		judgeTexts(works),
		judgeCompleteness(sent),
		judgeBrokenAnswers(evidence),
		toVerdict('no call was left hanging', sent.map(call => ({isWrong: call.isHung, what: describeCall(call)}))),
		judgeNotRun(works),
		{
			promise: 'nothing was held on any engine in the end', checked: sent.length, violations: evidence.holds, excused: 0,
		},
		{
			promise: 'the newest good configuration is in force on every host', checked: evidence.asked, violations: evidence.outdated, excused: 0,
		},
		judgeReversions(evidence),
		{
			promise: 'no refused document was ever in force', checked: evidence.observationCount, violations: evidence.unexpectedDocuments, excused: 0,
		},
		toVerdict('some work of each kind was answered whole', callKinds.map(kind => judgeServed(kind, evidence))),
	];
}
