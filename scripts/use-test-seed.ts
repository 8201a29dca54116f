/**
 * Loaded before each test file: gives the properties of fast-check one seed, so
 * that two runs of the same code give the same result. `FUZZ_SEED` sets another
 * seed, or `random` for a new one each time; `FUZZ_RUNS` multiplies the runs of
 * each property that sets no `numRuns` of its own.
 */
import process from 'node:process';
import fc from 'fast-check';

const defaultSeed = 20_261_202;
const defaultRuns = 100;

const {FUZZ_SEED: wantedSeed, FUZZ_RUNS: wantedRuns} = process.env;
const seed = wantedSeed === undefined ? defaultSeed : Number(wantedSeed);
const factor = Number(wantedRuns ?? 1);

fc.configureGlobal({
	...fc.readConfigureGlobal(),
	...(Number.isInteger(seed) && {seed}),
	...(factor > 1 && {numRuns: defaultRuns * factor}),
});
