/**
 * Measures time and memory of the service-level ledger with 300 rules and up to 18,000
 * workspaces, and of its document, burn rates and page.
 */
import {setTimeout} from 'node:timers/promises';
import {createSloLedger} from '../../src/domain/create-slo-ledger/index.js';
import {toBurnPage} from '../../src/domain/to-burn-page/index.js';
import {toBurnRates} from '../../src/domain/to-burn-rates/index.js';
import {bytesPerMebibyte} from '../../src/ports/units.js';

const samples = 500_000;
const rules = 300;
const samplesPerSecond = 15.5;
const target = {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000};

/** Runs the bench. Prints microseconds per sample and memory held for three numbers of workspaces. */
export async function runSloBench(): Promise<void> {
	for (const workspaces of [200, 2000, 18_000]) {
		await runAt(workspaces);
	}
}

async function runAt(workspaces: number): Promise<void> {
	const before = await toHeldBytes();
	const ledger = createSloLedger({host: 'a-1'});
	let now = 0;
	let seed = 1;
	const start = performance.now();
	for (let i = 0; i < samples; i++) {
		now += 1000 / samplesPerSecond;
		// A linear congruential generator gives the same workspaces in every run.
		seed = ((seed * 1_103_515_245) + 12_345) % 2_147_483_648;
		ledger.addSample({
			class: i % 3 === 0 ? 'batch' : 'quick',
			workspace: `w${seed % workspaces}`,
			rule: `r${seed % rules}`,
			end: seed % 20 === 0 ? 'failed' : 'complete',
			firstTokenMs: seed % 1500,
			perTokenMs: 20,
			completeMs: 2000,
			target,
		}, now);
	}

	const perSample = (performance.now() - start) * 1000 / samples;
	const held = (await toHeldBytes() - before) / bytesPerMebibyte;
	const documentStart = performance.now();
	const document = ledger.toDocument(now);
	const documentMs = performance.now() - documentStart;
	const pageStart = performance.now();
	const page = toBurnPage(document, toBurnRates(document), {writtenAt: 0});
	const pageMs = performance.now() - pageStart;
	console.log([
		`${workspaces} workspaces: ${perSample.toFixed(2)} µs per sample`,
		`${held.toFixed(1)} MiB held`,
		`${document.series.length} series`,
		`document ${documentMs.toFixed(1)} ms and ${(JSON.stringify(document).length / 1024).toFixed(0)} KiB`,
		`page ${pageMs.toFixed(1)} ms and ${(page.length / 1024).toFixed(0)} KiB`,
	].join(', '));
}

/** Returns the bytes in use on the heap and in typed arrays, which live outside the heap. Exact only with `--expose-gc`. */
async function toHeldBytes(): Promise<number> {
	// The memory of collected buffers is freed with a delay, and the objects that hold them only after that.
	for (let round = 0; round < 3; round++) {
		(globalThis as {gc?: () => void}).gc?.();
		await setTimeout(300);
	}

	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}
