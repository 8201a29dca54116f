import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createNewestReportedVersion} from './create-newest-reported-version.js';
import {type ShortVersion} from './peer-messages.js';

const toVersion = (edition: number): ShortVersion => ({edition, revision: edition, digest: `d${edition}`});

describe('createNewestReported', () => {
	it('knows of nothing newer before a report', () => {
		assert.equal(createNewestReportedVersion().isNewerThan(undefined, 0), false);
	});

	it('keeps the newest version and compares it with the version in force', () => {
		const newest = createNewestReportedVersion();
		newest.note(toVersion(3), 0);
		newest.note(toVersion(2), 1);
		newest.note(undefined, 2);
		assert.equal(newest.isNewerThan(undefined, 3), true);
		assert.deepEqual([2, 3, 4].map(own => newest.isNewerThan(toVersion(own), 3)), [true, false, false]);
	});

	it('expires a report that is not repeated for 30 s, and then accepts an older version', () => {
		const newest = createNewestReportedVersion();
		newest.note(toVersion(3), 0);
		assert.equal(newest.isNewerThan(toVersion(1), 29_999), true);
		assert.equal(newest.isNewerThan(toVersion(1), 30_000), false);
		newest.note(toVersion(2), 30_000);
		assert.deepEqual([1, 2].map(own => newest.isNewerThan(toVersion(own), 30_001)), [true, false]);
	});
});
