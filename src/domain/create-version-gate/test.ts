import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {compareConfigVersions} from '../compare-config-versions/index.js';
import {createVersionGate, type ReportedVersion} from './index.js';

const vouchedWaitMs = 3000;
const unvouchedWaitMs = 5000;

const toReport = (from: string, revision: number, isVouched = true): ReportedVersion => ({from, version: {edition: 0, revision, digest: `digest ${revision}`}, isVouched});
const toGate = (...reports: readonly ReportedVersion[]) => {
	const gate = createVersionGate({startedAt: 1000, vouchedWaitMs, unvouchedWaitMs});
	for (const report of reports) {
		gate.note(report);
	}

	return gate;
};

const toHosts = (reports: readonly ReportedVersion[]): string[] => reports.map(({from}) => from);

describe('createVersionGate', () => {
	const older = toReport('older', 1);
	const newer = toReport('newer', 2);
	const unvouched = toReport('unvouched', 3, false);

	it('holds back vouched versions until the seeds were asked', () => {
		const gate = toGate(older, newer, unvouched);
		assert.deepEqual(gate.listUsable(1000 + vouchedWaitMs - 1), []);
		gate.noteSeedsAsked();
		assert.deepEqual(toHosts(gate.listUsable(1001)), ['newer', 'older']);
	});

	it('lets vouched versions through when the seeds did not answer in time', () => {
		assert.deepEqual(toHosts(toGate(older, newer).listUsable(1000 + vouchedWaitMs)), ['newer', 'older']);
	});

	it('holds back other versions for longer, also after the seeds were asked', () => {
		const gate = toGate(unvouched, older);
		gate.noteSeedsAsked();
		assert.deepEqual(toHosts(gate.listUsable(1000 + unvouchedWaitMs - 1)), ['older']);
		assert.deepEqual(toHosts(gate.listUsable(1000 + unvouchedWaitMs)), ['unvouched', 'older']);
	});

	it('keeps the last report of each peer', () => {
		const gate = toGate(toReport('a', 1, false), toReport('a', 2));
		gate.noteSeedsAsked();
		assert.deepEqual(gate.listUsable(1001), [toReport('a', 2)]);
	});

	it('lists what is newer than a version, whoever reported it', () => {
		const gate = toGate(older, newer, unvouched);
		assert.deepEqual(toHosts(gate.listNewerThan(older.version)), ['unvouched', 'newer']);
		assert.deepEqual(gate.listNewerThan(unvouched.version), []);
	});

	it('keeps a bounded number of reports', () => {
		const gate = toGate(...Array.from({length: 500}, (_, i) => toReport(`host ${i}`, i)));
		gate.noteSeedsAsked();
		assert.equal(gate.listUsable(1001).length, 64);
	});

	it('lists the newest version first, in whatever order peers report', () => {
		const reports = fc.array(fc.record({from: fc.constantFrom('a', 'b', 'c', 'd'), revision: fc.nat(9), isVouched: fc.boolean()}));
		fc.assert(fc.property(reports, fc.nat(10_000), (list, now) => {
			const gate = toGate(...list.map(({from, revision, isVouched}) => toReport(from, revision, isVouched)));
			const versions = gate.listUsable(1000 + now).map(({version}) => version);
			assert.deepEqual(versions, [...versions].sort((a, b) => compareConfigVersions(b, a)));
		}));
	});
});
