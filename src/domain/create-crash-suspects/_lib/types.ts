/** Options and functions of the record of crashes. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type CrashReport, type DueReport} from '../../../ports/crash-reports.js';
import {type Fingerprint, type ServerId, type SoftwareVersion} from '../../../ports/ids.js';
import {type EndPeriod} from '../../judge-survival/index.js';

export type CrashSuspectsOptions = {
	/** Number of servers that must have ended while they ran a request before it is quarantined. */
	crashesToQuarantine?: number;
	/** Time after which a request that has not recurred is forgotten, milliseconds. */
	forgetMs?: Milliseconds;
	/** Maximum number of suspects; when it is exceeded, suspects that are not quarantined are evicted first, those with the fewest crashes and of these the least recently seen first. */
	maxSuspects?: number;
	/** Maximum number of crashes kept per request. */
	maxCrashes?: number;
	/** Maximum number of crashes in a report to other hosts; by default all that are kept. */
	maxReportedCrashes?: number;
	/** Picks the crash that makes room for a later one; without it, crashes beyond the maximum are not kept. */
	pickSurplus?: (crashes: readonly Crash[]) => ServerId;
	/** Time for which a server may go on with a request after the connection was closed. */
	lingerMs?: Milliseconds;
	/** What a survived run takes away, as a share of a crash; `Infinity` to clear all crashes before it. */
	survivalWeight?: number;
	/** Returns the software version of a server that is published; by default none is known. */
	toVersion?: (server: ServerId) => SoftwareVersion | undefined;
};

/** The end of a server while it ran the request. */
export type Crash = {server: ServerId; at: Milliseconds};

/** What one host knows of a request under which servers ended. */
export type Suspect = {
	/** Time at which each server ended while it ran the request. */
	crashes: Map<ServerId, Milliseconds>;
	/** Ends of runs that servers survived, after which earlier crashes still count. */
	survivals: readonly Milliseconds[];
	seenAt: Milliseconds;
	/** End of a survived run up to which nothing counts any more. */
	clearedAt: Milliseconds;
	/** Largest number of crashes that counted at once. */
	mostCrashes: number;
	reportedAt: Milliseconds;
};

export type CrashSuspects = {
	/** Records that the server closed the connection on which it was running the request; returns whether this puts the request in quarantine. */
	noteBroken: (fingerprint: Fingerprint, server: ServerId, now: Milliseconds) => boolean;
	/** Records that the server answered a call that started at this time; returns the requests of runs that it is now known to have survived. */
	noteAnswered: (server: ServerId, calledAt: Milliseconds) => readonly Fingerprint[];
	/** Records that a server survived a run of the request, which speaks against its earlier crashes; one of several in short order if all of these were of servers of other software versions. */
	noteSurvived: (fingerprint: Fingerprint, server: ServerId, now: Milliseconds) => void;
	/** Records a run whose server may have ended under it; returns whether this puts the request in quarantine, because the server is known to have ended. */
	noteUnresolved: (run: {fingerprint: Fingerprint; server: ServerId; startedAt: Milliseconds; isWhole: boolean}, now: Milliseconds) => boolean;
	/** Records that a server ended, as known from elsewhere than a call of the request; returns the requests that are newly quarantined. */
	noteServerEnded: (server: ServerId, period: EndPeriod, now: Milliseconds) => readonly Fingerprint[];
	/** Records that the request was received again and refused. */
	noteRefused: (fingerprint: Fingerprint, now: Milliseconds) => void;
	/** Merges reports of another host; returns the requests that are newly quarantined. */
	mergeReports: (reports: readonly CrashReport[], now: Milliseconds) => readonly Fingerprint[];
	isQuarantined: (fingerprint: Fingerprint, now: Milliseconds) => boolean;
	/** Crashes of the requests that have at least so many. */
	listCrashes: (now: Milliseconds, minCrashes: number) => ReadonlyArray<{fingerprint: Fingerprint; crashes: readonly Crash[]}>;
	/** Ends of servers under any request. */
	listEnds: () => readonly Crash[];
	/** Servers that ended while they ran the request. */
	crashedServers: (fingerprint: Fingerprint, now: Milliseconds) => readonly ServerId[];
	/** Reports for other hosts: all requests with repeated crashes, and requests with recent crashes of at least `minFreshCrashes` servers; rotates through them if there are more than `limit`. */
	toReports: (now: Milliseconds, options: {minFreshCrashes: number; limit: number}) => readonly CrashReport[];
	/** Reports of the requests that have changed since they were last taken, those with the most crashes first. */
	takeChanged: (now: Milliseconds, limit: number) => readonly DueReport[];
	/** Reports of first crashes that were not taken lately, for hosts that have replaced those which knew them. */
	takeOverdue: (now: Milliseconds, limit: number) => readonly CrashReport[];
	/** Reports of all requests with crashes, for a host that has just started. */
	listReports: (now: Milliseconds) => readonly CrashReport[];
	count: (now: Milliseconds) => {suspects: number; quarantined: number};
};
