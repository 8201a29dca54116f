/**
 * Where streams began. A stream that breaks may go on only at servers of the pool
 * and of the software version that began it. Hosts tell each other where streams
 * began, in messages that may be lost; a host that does not know it refuses to
 * continue the stream.
 */
import {type Milliseconds} from './clock.js';
import {type SoftwareVersion} from './ids.js';

/** Identifies a stream on all hosts: a digest of the workspace and of the request that began it. */
export type StreamKey = string;

/** Servers of the same origin can continue each other's streams. */
export type StreamOrigin = {
	pool: string;
	/** `undefined` for servers that publish no version, which count as one version. */
	softwareVersion: SoftwareVersion | undefined;
};

export type OriginRecord = {
	key: StreamKey;
	origin: StreamOrigin;
	/** Time for which the record is kept. */
	lifeMs: Milliseconds;
};

/** What a host knows of a stream; `ambiguous` if two streams of different origins have its key. */
export type KnownOrigin = StreamOrigin | 'ambiguous';

export type OriginMessage =
	| {kind: 'records'; records: readonly OriginRecord[]}
	| {kind: 'ask'; id: number; key: StreamKey}
	/** `known` is `undefined` if the host has no record, which does not mean that there was no stream. */
	| {kind: 'answer'; id: number; known: KnownOrigin | undefined};

/** Origins of streams as all hosts keep them together. */
export type StreamOrigins = {
	/** Records that a stream began, or goes on, on this host. */
	note: (record: OriginRecord) => void;
	/** Finds the origin of a stream; `undefined` if no host that answers knows it. */
	find: (key: StreamKey) => Promise<StreamOrigin | undefined>;
};
