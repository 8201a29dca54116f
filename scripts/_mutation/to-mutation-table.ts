/** The page that shows, for each module, how many of its mutants the tests kill. */
import {msPerMinute} from '../../src/ports/units.js';
import {type Milliseconds} from '../../src/ports/clock.js';

export type MutantStatus = 'Killed' | 'Survived' | 'NoCoverage' | 'CompileError' | 'RuntimeError' | 'Timeout' | 'Ignored' | 'Pending';

export type MutationRun = {
	module: string;
	mutants: ReadonlyArray<{status: MutantStatus; statusReason?: string | undefined}>;
	tookMs: Milliseconds;
};

const head = [
	'# Mutants that the tests kill',
	'',
	'Written by `npm run mutate -- MODULE...`, which changes a module in one small place at a time and runs its tests. A mutant is killed when a test fails or hangs. One that survives points to a missing test, to code without effect, or to a mutant that is equivalent to the original. Ignored mutants have their reason in the code.',
	'',
	'| module | mutants | killed | survived | not covered by a test | ignored | killed, % | minutes |',
	'|---|---|---|---|---|---|---|---|',
];

function toRow({module, mutants, tookMs}: MutationRun): string {
	const count = (...statuses: MutantStatus[]): number => mutants.filter(({status}) => statuses.includes(status)).length;
	const killed = count('Killed', 'Timeout');
	const survived = count('Survived');
	const uncovered = count('NoCoverage');
	const valid = killed + survived + uncovered;
	const share = valid === 0 ? '-' : (100 * killed / valid).toFixed(1);
	return `| \`${module}\` | ${valid} | ${killed} | ${survived} | ${uncovered} | ${count('Ignored')} | ${share} | ${(tookMs / msPerMinute).toFixed(1)} |`;
}

const toModule = (row: string): string => /^\| `([^`]+)`/v.exec(row)?.[1] ?? '';

/**
 * Updates the page with the results of a run.
 *
 * @param page - The current page; empty before the first run.
 * @param runs - Results of this run; rows of other modules stay as they are.
 * @param order - Names of all modules, in the order of the rows.
 * @returns The page.
 */
export function toMutationTable(page: string, runs: readonly MutationRun[], order: readonly string[]): string {
	const kept = page.split('\n').filter(line => toModule(line) !== '').map((row): [string, string] => [toModule(row), row]);
	const rows = new Map([...kept, ...runs.map((run): [string, string] => [run.module, toRow(run)])]);
	const ordered = order.map(name => rows.get(name)).filter(row => row !== undefined);
	return `${[...head, ...ordered].join('\n')}\n`;
}
