/**
 * Allow-list of field names in log lines. All other fields are left out, so that
 * a prompt, an answer, a token or a key can't reach the log as a part of a logged
 * object. A line lists the names of omitted fields in `omitted`, without values.
 */
const fieldNames = [
	// Course of a request.
	'requestId',
	'fingerprint',
	'parts',
	'attempt',
	'workspace',
	'rule',
	'pool',
	'class',
	'server',
	'prefillServer',
	'decodeServer',
	'softwareVersion',
	'resumes',
	'lastEventId',
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
	'sequence',
	'digest',
	'follows',
	'file',
	'line',
	'column',
	'rules',
	// Kinds, causes and amounts.
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

/** Patterns of secrets that may occur inside a text such as an error's message. */
const secretShapes: readonly RegExp[] = [
	/-----BEGIN [^-]*-----[\s\S]*?(?:-----END [^-]*-----|$)/g,
	/\b(?:bearer|basic)\s+\S+/gi,
	/\b(?:api[-_]?key|authorization|token|password|secret|prompt)["']?\s*[=:]\s*(?:"[^"]*"?|'[^']*'?|\S+)/gi,
];

/**
 * Returns the fields of an object that may be logged.
 *
 * @param fields - Fields passed to the log. The log's type does not prevent other fields in objects built elsewhere.
 * @returns Allowed fields with scalar values, long texts truncated and secrets in texts replaced; the names of other fields in `omitted`.
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
 * Truncates a text and replaces everything that matches the pattern of a secret.
 *
 * @param text - For example the message of an error.
 * @returns The text, at most 500 characters and an ellipsis.
 */
export function redactText(text: string): string {
	// Truncates first, which also bounds the work. The patterns match a truncated secret too, because they match its beginning.
	let redacted = text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
	for (const shape of secretShapes) {
		redacted = redacted.replaceAll(shape, '[redacted]');
	}

	return redacted;
}

function isScalar(value: unknown): boolean {
	return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean';
}
