/**
 * Names that may stand in a log line. Everything else is left out, so that a
 * prompt, an answer, a token or a key cannot reach a log by being in an object
 * that somebody logged: a line names it in `omitted` and never shows its value.
 */
const fieldNames = [
	// What a request's lines tell its story with.
	'requestId',
	'fingerprint',
	'attempt',
	'workspace',
	'rule',
	'pool',
	'class',
	'server',
	'prefillServer',
	'decodeServer',
	'edition',
	'outcome',
	'status',
	'step',
	'route',
	'promptTokens',
	'cachedTokens',
	'outputTokens',
	'offset',
	'firstTokenMs',
	'perTokenMs',
	'durationMs',
	'waitedMs',
	'deadlineMs',
	'retryAfterMs',
	'queued',
	'joined',
	// Hosts, peers and life cycle.
	'peer',
	'peerZone',
	'peerAddress',
	'life',
	'callerPort',
	'peerPort',
	'operatorPort',
	'signal',
	'inFlight',
	'hosts',
	'servers',
	'zones',
	'ready',
	// Configuration.
	'revision',
	'revisionBefore',
	'era',
	'eraBefore',
	'digest',
	'follows',
	'file',
	'line',
	'column',
	'rules',
	// What happened, counted or named.
	'reason',
	'cause',
	'kind',
	'state',
	'from',
	'to',
	'count',
	'dropped',
	'bytes',
	'ageMs',
	'silentMs',
	'failedReadAgeMs',
	'limit',
	'cost',
	'available',
	'order',
	'fence',
	'prefillShare',
	'setting',
	'remedy',
] as const;

export type LogFieldName = typeof fieldNames[number];

export type LogValue = string | number | boolean | undefined;

export type LogFields = Partial<Record<LogFieldName, LogValue>>;

const allowed: ReadonlySet<string> = new Set(fieldNames);
const maxValueLength = 500;

/** Shapes of secrets that may stand inside a text such as an error's message. */
const secretShapes: readonly RegExp[] = [
	/-----BEGIN [^-]*-----[\s\S]*?(?:-----END [^-]*-----|$)/g,
	/\b(?:bearer|basic)\s+\S+/gi,
	/\b(?:api[-_]?key|authorization|token|password|secret|prompt)["']?\s*[=:]\s*(?:"[^"]*"?|'[^']*'?|\S+)/gi,
];

/**
 * Keeps of an object's fields what may be logged.
 *
 * @param fields - Fields as handed to the log; its type is no protection against objects built elsewhere.
 * @returns Allowed fields with scalar values, long texts cut, secrets in texts replaced; names of what was left out in `omitted`.
 */
export function redactFields(fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
	const kept: Record<string, unknown> = {};
	const omitted: string[] = [];
	for (const [name, value] of Object.entries(fields)) {
		if (value === undefined) {
			continue;
		}

		if (allowed.has(name) && isScalar(value)) {
			kept[name] = typeof value === 'string' ? redactText(value) : value;
		} else {
			omitted.push(name.slice(0, 40));
		}
	}

	return omitted.length === 0 ? kept : {...kept, omitted: omitted.slice(0, 10).join(',')};
}

/**
 * Cuts a text and takes out what has the shape of a secret.
 *
 * @param text - For example the message of an error.
 * @returns The text, at most 500 characters and a mark.
 */
export function redactText(text: string): string {
	// Cut first, so that the work is bounded too; a secret cut in half still has its beginning, which the shapes match.
	let redacted = text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
	for (const shape of secretShapes) {
		redacted = redacted.replaceAll(shape, '[redacted]');
	}

	return redacted;
}

function isScalar(value: unknown): boolean {
	return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean';
}
