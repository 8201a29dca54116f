/** The report of a storm, as text and as JSON. */
import {type Runs} from './count-runs.js';
import {type Verdict} from './judge-storm.js';
import {
	callKinds, type CallKind, type FaultKind, type Sent, type InjectedFault,
} from './types.js';

export type KindReport = {
	kind: CallKind;
	works: number;
	calls: number;
	/** Calls that were answered whole. */
	whole: number;
	/** Calls that were answered whole within the target of their kind. */
	inTarget: number;
	/** `inTarget` as a share of the calls whose callers stayed. */
	goodput: number;
	medianMs: number;
	p95Ms: number;
	left: number;
	refused: number;
	broken: number;
	/** Work whose caller stayed and received neither an answer nor an outcome. */
	lost: number;
	/** Answers that claimed to be complete and were not. */
	truncated: number;
	runs: number;
	/** Work that more than one request ran. */
	duplicates: number;
};

export type StormReport = {
	seed: number;
	durationMs: number;
	hosts: number;
	kinds: readonly KindReport[];
	faults: Partial<Record<FaultKind, number>>;
	/** Refusals by kind of call, problem and outcome. */
	refusals: Readonly<Record<string, number>>;
	/** Broken answers by error code. */
	breaks: Readonly<Record<string, number>>;
	edits: {good: number; bad: number};
	/** Prefills whose results were not used, by cause. */
	wastedPrefills: Readonly<Record<string, number>>;
	heldBytes: number;
	/** Time until engines held nothing, measured from when the newest configuration was in force. */
	releasedAfterMs: number;
	/** Time until the newest configuration was in force on all hosts, measured from when they were ready again. */
	inForceAfterMs: number;
	verdicts: readonly Verdict[];
	isKept: boolean;
};

/** Targets for complete answers, as in the configuration of the fleet. */
const targetMs: Readonly<Record<CallKind, number>> = {
	question: 30_000, letter: 60_000, scene: 60_000, 'desk lookup': 10_000, 'desk change': 10_000,
};

/** Counts items by name. */
export function countBy<T>(items: readonly T[], toName: (item: T) => string): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const item of items) {
		const name = toName(item);
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}

function toQuantile(sorted: readonly number[], share: number): number {
	return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

/** Reports on the calls of one kind. */
export function toKindReport(kind: CallKind, all: readonly Sent[], runs: ReadonlyMap<string, Runs>): KindReport {
	const calls = all.filter(({work}) => work.kind === kind);
	const ids = [...new Set(calls.map(({work}) => work.id))];
	const whole = calls.filter(({answer}) => answer.isExpected);
	const stayed = calls.filter(({hasLeft}) => !hasLeft);
	const times = whole.map(({from, to}) => to - from).sort((a, b) => a - b);
	const inTarget = times.filter(time => time <= targetMs[kind]).length;
	const answered = new Set(calls.filter(({answer, hasLeft}) => hasLeft || !answer.isBroken).map(({work}) => work.id));
	const counted = ids.map(id => runs.get(id)).filter(count => count !== undefined);
	return {
		kind,
		works: ids.length,
		calls: calls.length,
		whole: whole.length,
		inTarget,
		goodput: stayed.length === 0 ? 0 : Math.round(1000 * inTarget / stayed.length) / 1000,
		medianMs: toQuantile(times, 0.5),
		p95Ms: toQuantile(times, 0.95),
		left: calls.length - stayed.length,
		refused: calls.filter(({answer}) => answer.outcome !== undefined).length,
		broken: stayed.filter(({answer}) => answer.isBroken).length,
		lost: ids.filter(id => !answered.has(id)).length,
		truncated: calls.filter(({answer}) => answer.isClaimedWhole && !answer.isExpected).length,
		runs: counted.reduce((sum, count) => sum + count.runs, 0),
		duplicates: counted.filter(count => (kind === 'desk change' ? count.runs : count.requestIds.length) > 1).length,
	};
}

/** Reports on the calls of all kinds. */
export function toCallsReport(sent: readonly Sent[], injectedFaults: readonly InjectedFault[], runs: ReadonlyMap<string, Runs>): Pick<StormReport, 'kinds' | 'faults' | 'refusals' | 'breaks'> {
	const refused = sent.filter(({answer}) => answer.outcome !== undefined);
	return {
		kinds: callKinds.map(kind => toKindReport(kind, sent, runs)),
		faults: countBy(injectedFaults, ({kind}) => kind),
		refusals: countBy(refused, ({work, answer}) => `${work.kind}: ${answer.problem ?? 'no name'} (${answer.outcome})`),
		breaks: countBy(sent.filter(({answer, hasLeft}) => answer.isBroken && !hasLeft), ({answer}) => answer.errorCode ?? 'ended early'),
	};
}

function toTable(rows: ReadonlyArray<readonly string[]>): string[] {
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
	return rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  '));
}

function toCountLines(title: string, counts: Readonly<Record<string, number>>): string[] {
	const rows = Object.entries(counts).sort(([, a], [, b]) => b - a).map(([name, count]) => [`  ${name}`, String(count)]);
	return rows.length === 0 ? [`${title}: none`] : [`${title}:`, ...toTable(rows)];
}

function toVerdictRow({promise, checked, violations, excused}: Verdict): readonly string[] {
	return [promise, String(checked), String(violations.length), String(excused)];
}

/** Formats the report as text. */
export function toReportText(report: StormReport): string {
	const columns = ['works', 'calls', 'whole', 'inTarget', 'goodput', 'medianMs', 'p95Ms', 'left', 'refused', 'broken', 'lost', 'truncated', 'runs', 'duplicates'] as const;
	return [
		`seed ${report.seed}, ${report.durationMs / 1000} s, ${report.hosts} hosts, edits: ${report.edits.good} good, ${report.edits.bad} bad`,
		'',
		...toTable([['calls', ...columns], ...report.kinds.map(row => [row.kind, ...columns.map(column => String(row[column]))])]),
		'',
		...toCountLines('faults', report.faults),
		...toCountLines('refusals', report.refusals),
		...toCountLines('broken', report.breaks),
		...toCountLines('wasted prefills', report.wastedPrefills),
		`held in the end: ${report.heldBytes} bytes; nothing held after ${report.releasedAfterMs} ms, configuration in force after ${report.inForceAfterMs} ms`,
		'',
		...toTable([['promise', 'checked', 'violated', 'excused'], ...report.verdicts.map(verdict => toVerdictRow(verdict))]),
		...report.verdicts.flatMap(({promise, violations}) => violations.map(violation => `VIOLATED ${promise}: ${violation}`)),
		report.isKept ? 'all promises were kept' : `PROMISES WERE BROKEN; seed ${report.seed}`,
	].join('\n');
}
