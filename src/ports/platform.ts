/**
 * Port to the platform, which holds a configuration value and a lagging list of
 * hosts and servers. The platform is read and watched, never written.
 */
import {type ResultAsync} from 'neverthrow';
import {type HostId, type ServerId} from './ids.js';
import {type Milliseconds} from './clock.js';

/** Key of a platform value. Each part of the configuration has its own key, see `toPartKey`. */
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
	/** Waits until the revision differs from `sinceRevision`; `undefined` when the wait ends first. Counts as one read. */
	watch: (key: PlatformKey, sinceRevision: number, waitMs: Milliseconds, signal: AbortSignal) => ResultAsync<PlatformValue | undefined, PlatformFailure>;
};
