import {compareConfigVersions} from '../../../domain/compare-config-versions/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ShortVersion} from './peer-messages.js';

/** Time for which a peer's report of a configuration counts; heartbeats repeat it. */
const reportLifeMs = 30_000;

export type NewestReportedVersion = {
	note: (version: ShortVersion | undefined, now: Milliseconds) => void;
	/** Whether the newest configuration that counts is newer than `own`; anything is newer than none. */
	isNewerThan: (own: ShortVersion | undefined, now: Milliseconds) => boolean;
};

/** @returns Keeps the newest configuration that peers have reported lately. */
export function createNewestReportedVersion(): NewestReportedVersion {
	let newest: {version: ShortVersion; at: Milliseconds} | undefined;
	const isFresh = (at: Milliseconds, now: Milliseconds): boolean => now - at < reportLifeMs;

	return {
		note(version, now) {
			if (version && (newest === undefined || compareConfigVersions(version, newest.version) >= 0 || !isFresh(newest.at, now))) {
				newest = {version, at: now};
			}
		},
		isNewerThan: (own, now) =>
			newest !== undefined && isFresh(newest.at, now) && (own === undefined || compareConfigVersions(newest.version, own) > 0),
	};
}
