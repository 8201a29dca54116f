/**
 * What the system reads of the platform: a configuration value and a lagging
 * list of hosts and servers. It is read and watched, never written.
 */
import {type ResultAsync} from 'neverthrow';
import {type HostId, type ServerId} from './ids.js';
import {type Milliseconds} from './clock.js';

/** A part of the configuration has a key of its own, see `toPartKey`. */
export type PlatformKey = 'config' | 'fleet' | `config.${string}`;

export type PlatformValue = {
	revision: number;
	value: string;
};

export type PlatformFailure = {
	kind: 'unreachable' | 'invalid' | 'too-large' | 'overloaded';
	message: string;
};

/** Life-cycle state of a host or server as the platform lists it. */
export type FleetState = 'live' | 'leaving';

/** The `fleet` value: a JSON document, published late. */
export type FleetList = {
	hosts: ReadonlyArray<{id: HostId; state: FleetState; peerAddress: string}>;
	servers: ReadonlyArray<{id: ServerId; state: FleetState}>;
};

export type Platform = {
	read: (key: PlatformKey) => ResultAsync<PlatformValue | undefined, PlatformFailure>;
	/** Waits until the revision differs from the one given, or the wait ends (`undefined`). Counts as one read. */
	watch: (key: PlatformKey, sinceRevision: number, waitMs: Milliseconds, signal: AbortSignal) => ResultAsync<PlatformValue | undefined, PlatformFailure>;
};
