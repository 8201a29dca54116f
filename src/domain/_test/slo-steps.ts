/** Arbitrary requests for an SLO ledger, and helpers to read its documents. */
import fc from 'fast-check';
import {type SloDocument, type SloSeries} from '../../_lib/slo/index.js';
import {msPerHour, msPerMinute} from '../../ports/units.js';
import {createSloLedger, type SloSample} from '../create-slo-ledger/index.js';

const target = {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000};

/** A good request of the quick class, with changes. */
export function toSample(changes: Partial<SloSample> = {}): SloSample {
	return {
		class: 'quick', workspace: 'w', rule: 'desk', end: 'complete', firstTokenMs: 100, perTokenMs: 20, completeMs: 1000, target, ...changes,
	};
}

/** Finds a series of a document by scope, name and class. */
export function pickSeries(document: SloDocument, scope: SloSeries['scope'], name: string, serviceClass = 'quick'): SloSeries | undefined {
	return document.series.find(series => series.scope === scope && series.name === name && series.class === serviceClass);
}

/** A request and the time since the previous one. */
export type Step = {sample: SloSample; gapMs: number};

/** Arbitrary requests over some days. */
export const steps = fc.array(fc.record({
	sample: fc.record({
		class: fc.constantFrom('quick' as const, 'batch' as const),
		workspace: fc.constantFrom('a', 'b', 'c', 'd', 'e', '__proto__'),
		rule: fc.constantFrom('r1', 'r2', 'r3'),
		end: fc.constantFrom('complete' as const, 'refused' as const, 'failed' as const, 'gone' as const),
		firstTokenMs: fc.constantFrom(100, 2000, undefined),
	}).map(changes => toSample(changes)),
	gapMs: fc.oneof(fc.nat(1000), fc.nat(20 * msPerMinute), fc.constant(30 * msPerHour)),
}), {maxLength: 60});

/** Runs a ledger over the given requests. */
export function runSteps(given: readonly Step[], options: {topWorkspaces?: number} = {}) {
	const ledger = createSloLedger({host: 'a-1', ...options});
	let now = 0;
	for (const {sample, gapMs} of given) {
		now += gapMs;
		ledger.addSample(sample, now);
	}

	return {now, document: ledger.toDocument(now)};
}

/** Serialises the document and parses it, as another process would. */
export function readBack(document: SloDocument): SloDocument {
	const text = JSON.stringify(document);
	return JSON.parse(text) as SloDocument;
}
