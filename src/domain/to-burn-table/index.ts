/**
 * Writes a burn report as a text table for a terminal.
 */
import {type BurnReport, type BurnRow} from '../to-burn-rates/index.js';

/**
 * Writes the report with one line per series, the classes first.
 *
 * @param report - Burn rates.
 * @param options - `rowsPerScope` limits rules and workspaces to the fastest burning ones; 20 by default.
 * @returns Text that ends with a line break, with burn rate and bad/total for each window.
 *
 * @example
 * ```ts
 * toBurnTable({hosts: ['a-1'], rows: []}); // => 'Burn of 1 host: a-1\nNo requests yet.\n'
 * ```
 */
export function toBurnTable(report: BurnReport, options: {rowsPerScope?: number} = {}): string {
	const {rowsPerScope = 20} = options;
	const title = `Burn of ${report.hosts.length} ${report.hosts.length === 1 ? 'host' : 'hosts'}: ${report.hosts.join(', ')}`;
	if (report.rows.length === 0) {
		return `${title}\nNo requests yet.\n`;
	}

	const shown = report.rows.filter((row, i) => report.rows.slice(0, i).filter(other => other.scope === row.scope).length < rowsPerScope);
	const header = ['series', 'class', 'objective', ...report.rows[0]!.windows.map(each => each.window), 'alert', 'causes in 1h'];
	const cells = [header, ...shown.map(row => toCells(row))];
	const widths = header.map((_, column) => Math.max(...cells.map(line => line[column]!.length)));
	const lines = cells.map(line => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd());
	const hidden = report.rows.length - shown.length;
	const rest = hidden > 0 ? [`… and ${hidden} more; --json lists all.`] : [];
	return [title, ...lines, ...rest, 'A burn of 1.0 spends the budget just as fast as it is given; the numbers behind it are bad/total.', ''].join('\n');
}

function toCells(row: BurnRow): string[] {
	return [
		toLabel(row),
		row.class,
		`${(row.objective * 100).toFixed(1)}%`,
		...row.windows.map(({burn, bad, total}) => total === 0 ? '-' : `${burn.toFixed(1)} ${bad}/${total}`),
		row.alert === 'none' ? '-' : row.alert,
		row.causes.map(({cause, count}) => `${cause} ${count}`).join(', ') || '-',
	];
}

/** Returns the label of a row. Names come from callers, and control characters in them could manipulate the terminal, so they are replaced. */
function toLabel({scope, name}: BurnRow): string {
	const printable = [...name].map(char => /[\p{C}\p{Z}]/u.test(char) && char !== ' ' ? '?' : char).join('');
	const short = printable.length > 40 ? `${printable.slice(0, 39)}…` : printable;
	return scope === 'class' ? 'all' : (scope === 'other-workspaces' ? 'other workspaces' : `${scope} ${short}`);
}
