/** The keys of a configuration document and the values that they may have. */
import {
	type HostEntry, type LatencyTarget, type PoolEntry, type RolloutPolicy, type RuleThen, type RuleWhen, type ServerEntry, type WorkspaceLimit, type ZoneEntry,
} from '../../../ports/config.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {
	duration, flag, listOf, mapOf, oneOf, oneOrMore, optional, type Reader, record, required, text, integer,
} from './readers.js';

const name = text(/^[a-zA-Z\d][\w.-]{0,63}$/, 'a name of letters, digits, "-", "_" and "." (at most 64)');
const modelName = text(/^[a-zA-Z\d][\w.\-/:]{0,127}$/, 'a model name of letters, digits and "-_./:" (at most 128)');
const ruleName = text(/^\S(?:.{0,78}\S)?$/, 'a name on one line (at most 80 letters)');
const workspace = text(/^[\w.\-:@]{1,128}$/, 'a workspace name without blanks (at most 128)');
const url = text(/^https?:\/\/(?:(?:25[0-5]|2[0-4]\d|1?\d?\d)(?:\.(?:25[0-5]|2[0-4]\d|1?\d?\d)){3}|\[[\da-f:]+]):\d{1,5}$/, 'an address like http://10.0.0.7:8000 (IP number and port, no path)');
const hostName = text(/^[a-z\d][a-z\d.-]*$/, 'a host name in lower case without a port');
const pathPrefix = text(/^\/[^\s?#]*$/, 'a path that starts with "/"');
const headerValue = text(/^[^\r\n]+$/, 'a header value, or "*" for any');
const serviceClass = oneOf('quick', 'batch');

export const zone: Reader<ZoneEntry> = record<ZoneEntry>({id: required(name), region: required(name)});
export const host: Reader<HostEntry> = record<HostEntry>({id: required(name), zone: required(name)});

const slotsByRole = {prefill: 4, decode: 20, plain: 64} as const;

type ServerForm = Omit<ServerEntry, 'slots' | 'softwareVersion'> & {slots: number | undefined; softwareVersion: string | undefined};

const serverForm: Reader<ServerForm> = record<ServerForm>({
	id: required(name),
	zone: required(name),
	url: required(url),
	role: required(oneOf('prefill', 'decode', 'plain')),
	pool: required(name),
	slots: optional<number | undefined>(integer(1, 100_000), undefined),
	checksFence: optional(flag, false),
	softwareVersion: optional<string | undefined>(name, undefined),
});

export const server: Reader<ServerEntry> = (value, path, faults) => {
	const form = serverForm(value, path, faults);
	if (form === undefined) {
		return undefined;
	}

	const {softwareVersion, ...entry} = form;
	return {...entry, slots: form.slots ?? slotsByRole[form.role], ...(softwareVersion !== undefined && {softwareVersion})};
};

type PoolForm = Omit<PoolEntry, 'kind' | 'rollout'> & {kind: PoolEntry['kind'] | undefined; rollout: RolloutPolicy | undefined};

const poolForm: Reader<PoolForm> = record<PoolForm>({
	name: required(name),
	kind: optional<PoolEntry['kind'] | undefined>(oneOf('model', 'plain'), undefined),
	model: optional<string | undefined>(modelName, undefined),
	version: optional<string | undefined>(name, undefined),
	adapters: optional<readonly string[]>(listOf(name), []),
	classes: optional<readonly ServiceClass[]>(oneOrMore(serviceClass), ['quick', 'batch']),
	rollout: optional<RolloutPolicy | undefined>(oneOf('keep-serving', 'allow-gap'), undefined),
});

export const pool: Reader<PoolEntry> = (value, path, faults) => {
	const form = poolForm(value, path, faults);
	if (!form) {
		return undefined;
	}

	const kind = form.kind ?? (form.model === undefined ? 'plain' : 'model');
	if (kind === 'model' && form.model === undefined) {
		faults.add(path, 'a pool of kind model names no model', 'add "model: ..." or write "kind: plain"');
	}

	if (kind === 'plain' && (form.model !== undefined || form.version !== undefined || form.adapters.length > 0)) {
		faults.add(path, 'a plain pool has no model, version or adapters', 'leave them out or write "kind: model"');
	}

	if (kind === 'plain' && form.rollout !== undefined) {
		faults.add([...path, 'rollout'], 'a plain pool loads no weights', 'leave "rollout" out');
	}

	const {rollout, ...rest} = form;
	return {...rest, kind, ...(rollout !== undefined && {rollout})};
};

type WhenForm = {[Key in keyof Required<RuleWhen>]: RuleWhen[Key] | undefined};

const whenForm: Reader<WhenForm> = record<WhenForm>({
	workspace: optional<RuleWhen['workspace']>(oneOrMore(workspace), undefined),
	model: optional<RuleWhen['model']>(oneOrMore(modelName), undefined),
	host: optional<string | undefined>(hostName, undefined),
	path: optional<string | undefined>(pathPrefix, undefined),
	headers: optional<RuleWhen['headers']>(mapOf({pattern: /^[a-z\d][a-z\d_-]*$/, wanted: 'a header name in lower case'}, headerValue), undefined),
	class: optional<ServiceClass | undefined>(serviceClass, undefined),
	promptTokensAtLeast: optional<number | undefined>(integer(0, 100_000_000), undefined),
	promptTokensBelow: optional<number | undefined>(integer(1, 100_000_000), undefined),
	zone: optional<RuleWhen['zone']>(oneOrMore(name), undefined),
});

const when: Reader<RuleWhen> = (value, path, faults) => {
	const form = whenForm(value, path, faults);
	if (!form) {
		return undefined;
	}

	const {promptTokensAtLeast: least, promptTokensBelow: below} = form;
	if (least !== undefined && below !== undefined && least >= below) {
		faults.add([...path, 'promptTokensBelow'], `no prompt has at least ${least} and fewer than ${below} tokens`, `write a number over ${least}`);
	}

	const present: Record<string, unknown> = {};
	for (const name of Object.keys(form) as Array<keyof WhenForm>) {
		if (form[name] !== undefined) {
			present[name] = form[name];
		}
	}

	return present;
};

type TargetForm = {firstToken: number | undefined; perToken: number | undefined; complete: number | undefined};

const targetForm: Reader<TargetForm> = record<TargetForm>({
	firstToken: optional<number | undefined>(duration, undefined),
	perToken: optional<number | undefined>(duration, undefined),
	complete: optional<number | undefined>(duration, undefined),
});

/** Latency targets of rules that state none. The quick ones are the users' requirements: 1.3 s and 61 ms. */
export const defaultTargets: Readonly<Record<ServiceClass, LatencyTarget>> = {
	quick: {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000},
	batch: {firstTokenMs: 60_000, perTokenMs: 250, completeMs: 600_000},
};

/** Number of requests that may wait at one host for a rule that states no limit. */
export const defaultQueueLimits: Readonly<Record<ServiceClass, number>> = {quick: 64, batch: 1000};

type ThenForm = Omit<RuleThen, 'target' | 'queueLimit' | 'versions' | 'isPublic' | 'relay'> & {
	public: boolean;
	target: TargetForm;
	queueLimit: number | undefined;
	versions: Readonly<Record<string, number>>;
};

const thenForm: Reader<ThenForm> = record<ThenForm>({
	pool: required(name),
	class: required(serviceClass),
	repeatable: required(flag),
	target: optional(targetForm, {firstToken: undefined, perToken: undefined, complete: undefined}),
	queueLimit: optional<number | undefined>(integer(0, 1_000_000), undefined),
	versions: optional<Readonly<Record<string, number>>>(mapOf({pattern: /^[\w.-]{1,64}$/, wanted: 'the name of a version'}, integer(0, 1_000_000)), {}),
	adapter: optional<string | undefined>(name, undefined),
	public: optional(flag, false),
});

const readThen: Reader<RuleThen> = (value, path, faults) => {
	const form = thenForm(value, path, faults);
	if (!form) {
		return undefined;
	}

	const fallback = defaultTargets[form.class];
	const versions = Object.entries(form.versions).map(([version, weight]) => ({version, weight}));
	if (versions.length > 0 && versions.every(({weight}) => weight === 0)) {
		faults.add([...path, 'versions'], 'every version has weight 0', 'give one version a weight of 1 or more, or leave "versions" out');
	}

	const target = {
		firstTokenMs: form.target.firstToken ?? fallback.firstTokenMs,
		perTokenMs: form.target.perToken ?? fallback.perTokenMs,
		completeMs: form.target.complete ?? fallback.completeMs,
	};
	if (target.completeMs < target.firstTokenMs) {
		faults.add([...path, 'target'], 'the target for the complete answer is shorter than the one for its first token', 'write a longer "complete" or a shorter "firstToken"');
	}

	const {public: isPublic, ...rest} = form;
	return {
		...rest,
		...(isPublic && {isPublic}),
		target,
		queueLimit: form.queueLimit ?? defaultQueueLimits[form.class],
		versions,
	};
};

export type RuleForm = {
	name: string;
	when: RuleWhen;
	/** Name of a route, or the decision itself. */
	then: string | RuleThen;
};

const thenOrRoute: Reader<string | RuleThen> = (value, path, faults) => typeof value === 'string' ? value : readThen(value, path, faults);

export const rule: Reader<RuleForm> = record<RuleForm>({
	name: required(ruleName),
	when: optional<RuleWhen>(when, {}),

	then: required(thenOrRoute),
});

export const routes = mapOf({pattern: /^[a-zA-Z\d][\w.-]{0,63}$/, wanted: 'the name of a route'}, readThen);
export const callerTokens = mapOf({pattern: /^[\da-f]{64}$/, wanted: 'the SHA-256 of a token: 64 digits in lower-case hex'}, workspace);

const keyDigest = text(/^[\da-f]{64}$/, 'the SHA-256 of a key: 64 digits in lower-case hex');
const maxUnits = 1_000_000_000;

type LimitForm = Omit<WorkspaceLimit, 'burst'> & {burst: number | undefined};

const limitForm: Reader<LimitForm> = record<LimitForm>({
	unit: optional(oneOf('requests', 'tokens'), 'requests'),
	perSecond: required(integer(1, maxUnits)),
	burst: optional<number | undefined>(integer(0, maxUnits), undefined),
	unstatedTokens: optional(integer(0, maxUnits), 0),
});

const limit: Reader<WorkspaceLimit> = (value, path, faults) => {
	const form = limitForm(value, path, faults);
	return form && {...form, burst: form.burst ?? form.perSecond};
};

export type WorkspaceForm = {
	keys: readonly string[];
	class: ServiceClass | undefined;
	limit: WorkspaceLimit | undefined;
};

const workspaceForm: Reader<WorkspaceForm> = record<WorkspaceForm>({
	keys: required(listOf(keyDigest)),
	class: optional<ServiceClass | undefined>(serviceClass, undefined),
	limit: optional<WorkspaceLimit | undefined>(limit, undefined),
});

export const workspaces = mapOf({pattern: /^[\w.\-:@]{1,128}$/, wanted: 'a workspace name without blanks (at most 128)'}, workspaceForm);

export const edition = integer(1, Number.MAX_SAFE_INTEGER);
export const digestOrNone = text(/^(?:none|[\da-f]{64})$/, 'a SHA-256 in lower-case hex or "none"');
export const endMark = text(/^(?:banyanport|sealed-[\da-f]{64})$/, '"banyanport" (or the seal that "banyanport seal" writes)');

export {size as weightStoreBytesPerSecond} from './readers.js';
