import {type Counts} from '../../../_lib/slo/index.js';

const width = 720;
const height = 160;
const left = 44;
const bottom = 22;
const plotWidth = width - left;
const plotHeight = height - bottom;

export type PlotOptions = {
	title: string;
	/** Label at the start of the time axis. */
	from: string;
	to: string;
	objective: number;
};

/**
 * Draws the share of bad requests over time as bars, and the error budget as a line.
 * Bars above the line stand for a burn rate above 1.
 *
 * @param points - Counts by step, newest first.
 * @param options - Title, axis and objective.
 * @returns An SVG element.
 */
export function toPlot(points: readonly Counts[], options: PlotOptions): string {
	const oldestFirst = [...points].reverse();
	const budget = 1 - options.objective;
	const shares = oldestFirst.map(({total, bad}) => total === 0 ? 0 : bad / total);
	const top = Math.min(1, Math.max(2 * budget, ...shares));
	const step = plotWidth / Math.max(1, oldestFirst.length);
	const toY = (share: number) => plotHeight * (1 - (share / top));
	const bars = oldestFirst.map((counts, i) => toBar({
		counts, share: shares[i]!, x: left + (i * step), step, y: toY(shares[i]!), budget,
	}));
	const lineY = toY(budget).toFixed(1);
	return [
		`<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${options.title}">`,
		`<title>${options.title}</title>`,
		...bars,
		`<line class="budget" x1="${left}" x2="${width}" y1="${lineY}" y2="${lineY}"/>`,
		`<text x="${left - 4}" y="10" text-anchor="end">${toPercent(top)}</text>`,
		`<text x="${left - 4}" y="${Number(lineY) + 4}" text-anchor="end">${toPercent(budget)}</text>`,
		`<text x="${left - 4}" y="${plotHeight}" text-anchor="end">0</text>`,
		`<text x="${left}" y="${height - 4}">${options.from}</text>`,
		`<text x="${width}" y="${height - 4}" text-anchor="end">${options.to}</text>`,
		'</svg>',
	].join('\n');
}

type Bar = {counts: Counts; share: number; x: number; y: number; step: number; budget: number};

/** Draws a bar. A step without requests is left blank, while a step without bad requests gets a mark on the axis, so that the two look different. */
function toBar({counts, share, x, y, step, budget}: Bar): string {
	if (counts.total === 0) {
		return '';
	}

	const kind = share > budget ? 'over' : 'under';
	const tall = Math.max(1.5, plotHeight - y);
	const place = `x="${x.toFixed(1)}" y="${(plotHeight - tall).toFixed(1)}" width="${Math.max(1, step - 1).toFixed(1)}" height="${tall.toFixed(1)}"`;
	return `<rect class="${kind}" ${place}><title>${counts.bad} bad of ${counts.total}</title></rect>`;
}

function toPercent(share: number): string {
	return `${Number((share * 100).toFixed(1))}%`;
}
