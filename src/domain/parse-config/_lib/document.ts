/** The sections of a configuration document. */
import {
	type HostEntry, type PoolEntry, type RuleThen, type ServerEntry, type ZoneEntry,
} from '../../../ports/config.js';
import {
	optional, partialRecord, type Indexed, indexedListOf, required,
} from './readers.js';
import * as schema from './schema.js';

export type DocumentForm = {
	zones: ReadonlyArray<Indexed<ZoneEntry>>;
	hosts: ReadonlyArray<Indexed<HostEntry>>;
	servers: ReadonlyArray<Indexed<ServerEntry>>;
	pools: ReadonlyArray<Indexed<PoolEntry>>;
	routes: Readonly<Record<string, RuleThen>>;
	rules: ReadonlyArray<Indexed<schema.RuleForm>>;
	callerTokens: Readonly<Record<string, string>>;
	/** Absent where callers need a key only if `callerTokens` has any. */
	workspaces: Readonly<Record<string, schema.WorkspaceForm>> | undefined;
	weightStoreBytesPerSecond: number;
	edition: number;
	follows: string;
	end: string;
};

const defaultWeightStoreBytesPerSecond = 500_000_000;

/** Sections whose length grows with the fleet and with its customers. */
export type LongSection = 'hosts' | 'servers' | 'rules';

const zones = required(indexedListOf(schema.zone, 1));
const pools = required(indexedListOf(schema.pool, 1));
const routes = optional(schema.routes, {});
const lastFields = {
	callerTokens: optional(schema.callerTokens, {}),
	workspaces: optional<DocumentForm['workspaces']>(schema.workspaces, undefined),
	weightStoreBytesPerSecond: optional(schema.weightStoreBytesPerSecond, defaultWeightStoreBytesPerSecond),
	edition: optional(schema.edition, 0),
	follows: optional(schema.digestOrNone, 'none'),
	end: required(schema.endMark),
} as const;

/** Reads all sections except the long ones. */
export const readFrame = partialRecord<Omit<DocumentForm, LongSection>>({
	zones, pools, routes, ...lastFields,
});

/** Reads all sections. Sections with faults are left out, so that the semantic checks still run on the others. */
export const readDocument = partialRecord<DocumentForm>({
	zones,
	hosts: required(indexedListOf(schema.host)),
	servers: required(indexedListOf(schema.server)),
	pools,
	routes,
	rules: required(indexedListOf(schema.rule, 1)),
	...lastFields,
});
