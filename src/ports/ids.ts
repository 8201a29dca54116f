/**
 * Identifiers that are exchanged between processes. They are plain strings and
 * numbers, so that any codec can carry them; the aliases document signatures.
 */

/** Published name of a host slot, for example `zone-a-1`. Stays the same when the host in the slot is replaced. */
export type HostId = string;

/** Published name of a backend server. */
export type ServerId = string;

/** Version of a backend server's software, for example `v1.2`. The weights that the server has loaded have a version of their own. */
export type SoftwareVersion = string;

/** Availability zone, for example `zone-a`. */
export type ZoneId = string;

/** Region, for example `region-1`. */
export type RegionId = string;

/** Customer on whose behalf a request is made. */
export type WorkspaceId = string;

/** Identifies one request from its acceptance to its end; sent with every answer as `x-request-id`. */
export type RequestId = string;

/** Identifies the content of a request: equal for all repeats of the request, which have different request ids. */
export type Fingerprint = string;

/** Identifies a part of a prompt among the requests of one pool and model: equal for all requests whose prompts share the part. */
export type PartKey = string;

/** Number of an attempt within its request, starting at 1. */
export type AttemptNumber = number;

/**
 * Incarnation of a process: wall-clock milliseconds at its start, raised above
 * any earlier incarnation of the same host that peers report. A larger
 * incarnation supersedes a smaller one.
 */
export type Incarnation = number;

/** The process that is responsible for answering a request and on whose behalf engines hold memory. */
export type Owner = {
	host: HostId;
	incarnation: Incarnation;
};

/** Ids that were seen a short time ago. */
export type RecentIds = {
	has: (id: string) => boolean;
	add: (id: string) => void;
};
