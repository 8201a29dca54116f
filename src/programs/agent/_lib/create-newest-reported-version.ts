import {compareConfigVersions} from '../../../domain/compare-config-versions/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ShortVersion} from './peer-messages.js';

/** Time after which a peer's report of a configuration expires; heartbeats repeat it. */
const reportLifeMs = 30_000;

export type NewestReportedVersion = {
	note: (version: ShortVersion | undefined, now: Milliseconds) => void;
	/** Whether the newest reported version that has not expired is newer than `own`; any version is newer than `undefined`. */
	isNewerThan: (own: ShortVersion | undefined, now: Milliseconds) => boolean;
};

/**
 * Remembers the newest configuration version that peers have reported recently.
 *
 * @returns See {@link NewestReportedVersion}.
 */
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
