/** Draws the goodput of all runs as bars, each with a mark at the theoretical upper bound. */
import {type Row} from './to-row.js';

const barHeight = 9;
const rowHeight = 36;
const left = 330;
const width = 420;
const top = 40;

type Series = {name: string; color: string; of: (row: Row) => number; paperOf: (row: Row) => number};

const series: readonly Series[] = [
	{
		name: 'quick', color: '#2a6f97', of: row => row.quickGood, paperOf: row => row.paperQuick,
	},
	{
		name: 'batch', color: '#c1666b', of: row => row.batchGood, paperOf: row => row.paperBatch,
	},
	{
		name: 'desk', color: '#6a994e', of: row => row.deskGood, paperOf: row => row.paperDesk,
	},
];

function toText(x: number, y: number, text: string): string {
	return `<text x="${x}" y="${y}">${text.replaceAll('&', '&amp;').replaceAll('<', '&lt;')}</text>`;
}

function toBars(row: Row, index: number): string {
	const y = top + (index * rowHeight);
	const bars = series.map(({color, of, paperOf}, position) => {
		const at = y + (position * barHeight);
		const paperX = left + (paperOf(row) * width);
		return `<rect x="${left}" y="${at}" width="${(of(row) * width).toFixed(1)}" height="${barHeight - 1}" fill="${color}"/>`
			+ `<line x1="${paperX.toFixed(1)}" x2="${paperX.toFixed(1)}" y1="${at}" y2="${at + barHeight - 1}" stroke="#000" stroke-width="2"/>`
			+ toText(left + width + 8, at + barHeight - 1, `${(of(row) * 100).toFixed(1)} %`);
	});
	return toText(8, y + 16, `${row.fleet} ${row.load}, ${row.hosts} hosts, ${row.fault}`) + bars.join('');
}

/**
 * Draws the chart.
 *
 * @param rows - Rows of the table.
 * @returns SVG document.
 */
export function toSvg(rows: readonly Row[]): string {
	const height = top + (rows.length * rowHeight) + 10;
	const keys = series.map(({name, color}, index) => `<rect x="${left + (index * 80)}" y="12" width="10" height="10" fill="${color}"/>${toText(left + 14 + (index * 80), 21, name)}`);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${left + width + 80}" height="${height}" font-family="sans-serif" font-size="11">`,
		`<rect width="100%" height="100%" fill="#fff"/>${toText(8, 21, 'Goodput; black: theoretical upper bound')}${keys.join('')}`,
		...rows.map((row, index) => toBars(row, index)),
		'</svg>\n',
	].join('\n');
}
