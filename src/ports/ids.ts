/**
 * Names of things that cross process borders. All are plain strings, so that
 * they survive any codec; the aliases say which one a signature means.
 */

/** Published name of a host slot, for example `zone-a-1`. Stable across replacement of the host that fills it. */
export type HostId = string;

/** Published name of a backend server. */
export type ServerId = string;

/** Availability zone, for example `zone-a`. */
export type ZoneId = string;

/** Region, for example `region-1`. */
export type RegionId = string;

/** Customer on whose behalf a request is made. */
export type WorkspaceId = string;

/** Names one request from its acceptance to its end; on every answer as `x-request-id`. */
export type RequestId = string;

/** Names what a request asks for: the same for each repeat of it, whatever id it has. */
export type Fingerprint = string;

/** Position of an attempt within its request, from 1. */
export type AttemptNumber = number;

/**
 * Start stamp of a process: wall-clock milliseconds at its start, raised above
 * any earlier incarnation of the same host that peers report. A larger one
 * replaces a smaller one.
 */
export type Incarnation = number;

/** The process that owes a request its answer, and on whose behalf engines hold memory. */
export type Owner = {
	host: HostId;
	incarnation: Incarnation;
};
