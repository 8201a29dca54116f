/**
 * Writes a burn report as a self-contained HTML page, without scripts or external
 * resources and with plots as inline SVG.
 */
import {type SloDocument, type SloSeries, windowNames} from '../../_lib/slo/index.js';
import {type BurnReport, type BurnRow} from '../to-burn-rates/index.js';
import {toPlot} from './_lib/to-plot.js';

const style = `
:root { color-scheme: light dark; }
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: left; padding: .25rem .5rem; border-bottom: 1px solid #8884; }
td.num { text-align: right; white-space: nowrap; }
td small { color: #777; }
svg { width: 100%; height: auto; font: 10px system-ui, sans-serif; fill: currentColor; }
svg .over { fill: #c43c35; } svg .under { fill: #4a8f5c; }
svg .budget { stroke: currentColor; stroke-dasharray: 4 3; opacity: .6; }
.page { background: #c43c35; color: #fff; } .ticket { background: #d9a520; color: #000; }
.alert { padding: .5rem .75rem; border-radius: .25rem; margin: .5rem 0; }
`;

const causeWords = {
	lateFirstToken: 'late first token',
	latePerToken: 'slow between tokens',
	lateComplete: 'late completion',
	refused: 'refused',
	failed: 'broken off',
} as const;

/**
 * Writes the page.
 *
 * @param document - Counts, for the plots.
 * @param report - Burn rates of the same counts.
 * @param options - `writtenAt`, wall-clock milliseconds shown on the page; `rowsPerScope` limits rules and workspaces to the fastest burning ones, 50 by default.
 * @returns An HTML document.
 *
 * @example
 * ```ts
 * const document = {version: 1, hosts: ['a-1'], series: []} as const;
 * toBurnPage(document, toBurnRates(document), {writtenAt: 0}).startsWith('<!doctype html>'); // => true
 * ```
 */
export function toBurnPage(document: SloDocument, report: BurnReport, options: {writtenAt: number; rowsPerScope?: number}): string {
	const {writtenAt, rowsPerScope = 50} = options;
	const hosts = report.hosts.map(host => escapeText(host)).join(', ');
	const classes = document.series.filter(series => series.scope === 'class');
	return [
		'<!doctype html>',
		'<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width"><title>Service-level burn</title>',
		`<style>${style}</style></head><body>`,
		'<h1>Service-level burn</h1>',
		`<p>${report.hosts.length} ${report.hosts.length === 1 ? 'host' : 'hosts'}: ${hosts}. Written ${new Date(writtenAt).toISOString()}.</p>`,
		...toAlerts(report),
		...classes.flatMap(series => toPlots(series, report)),
		...(['class', 'rule', 'workspace'] as const).flatMap(scope => toSection(scope, report, rowsPerScope)),
		'<p>A burn of 1.0 spends the budget of bad requests just as fast as it is given. Small numbers are bad/total.</p>',
		'</body></html>',
		'',
	].join('\n');
}

function toAlerts(report: BurnReport): string[] {
	const alerts = report.rows.filter(row => row.alert !== 'none');
	if (alerts.length === 0) {
		return ['<p>No alert.</p>'];
	}

	return alerts.slice(0, 20).map(row => {
		const {short, long, burn} = row.alertRule!;
		const words = row.alert === 'page' ? 'Act now' : 'Look at it today';
		return `<p class="alert ${row.alert}"><strong>${words}:</strong> ${toLabel(row)} (${row.class}) burns at ${burn} or more over ${short} and ${long}. ${toCauses(row)}</p>`;
	});
}

function toPlots(series: SloSeries, report: BurnReport): string[] {
	const objective = report.rows.find(row => row.scope === 'class' && row.class === series.class)?.objective ?? 1;
	const {minutes = [], quarters = []} = series;
	return [
		`<h2>Bad requests, ${series.class}</h2>`,
		toPlot(quarters, {
			title: `Share of bad ${series.class} requests, last 24 hours`, from: '24 hours ago', to: 'now', objective,
		}),
		toPlot(minutes, {
			title: `Share of bad ${series.class} requests, last hour`, from: '60 minutes ago', to: 'now', objective,
		}),
	];
}

const headings = {class: 'Classes', rule: 'Rules', workspace: 'Workspaces'} as const;

function toSection(scope: 'class' | 'rule' | 'workspace', report: BurnReport, limit: number): string[] {
	const all = report.rows.filter(row => row.scope === scope || (scope === 'workspace' && row.scope === 'other-workspaces'));
	if (all.length === 0) {
		return [];
	}

	const head = ['', 'class', 'objective', ...windowNames, 'causes in 1h'].map(text => `<th>${text}</th>`).join('');
	return [
		`<h2>${headings[scope]}</h2>`,
		`<table><thead><tr>${head}</tr></thead><tbody>`,
		...all.slice(0, limit).map(row => toTableRow(row)),
		'</tbody></table>',
		...all.length > limit ? [`<p>… and ${all.length - limit} more.</p>`] : [],
	];
}

function toTableRow(row: BurnRow): string {
	const windows = row.windows.map(({burn, bad, total}) => `<td class="num">${total === 0 ? '–' : `${burn.toFixed(1)} <small>${bad}/${total}</small>`}</td>`);
	const cells = [`<td>${toLabel(row)}</td>`, `<td>${row.class}</td>`, `<td class="num">${(row.objective * 100).toFixed(1)}%</td>`, ...windows, `<td>${toCauses(row)}</td>`];
	return `<tr${row.alert === 'none' ? '' : ` class="${row.alert}"`}>${cells.join('')}</tr>`;
}

function toCauses(row: BurnRow): string {
	return row.causes.map(({cause, count}) => `${causeWords[cause]} ${count}`).join(', ');
}

function toLabel({scope, name}: BurnRow): string {
	if (scope === 'class') {
		return 'all';
	}

	return scope === 'other-workspaces' ? 'other workspaces' : escapeText(name.length > 60 ? `${name.slice(0, 59)}…` : name);
}

/** Escapes text for HTML, since names of workspaces come from callers. */
function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;').replaceAll('\'', '&#39;');
}
