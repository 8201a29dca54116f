/** Validates the fields of an engine's answers. All functions return `undefined` for an answer that violates the protocol. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {
	type EngineRefusalReason, type Hold, type LoadReport, type PrefillResult, type Reservation,
} from '../../../ports/engine.js';
import {type Owner} from '../../../ports/ids.js';

type Fields = Record<string, unknown>;

const reasons = new Set<string>(['full', 'leaving', 'wrong-model', 'expired', 'old-fence', 'duplicate', 'source-failed', 'other']);
const holdKinds = new Set<unknown>(['queued', 'prefill', 'kv', 'reservation', 'stream']);
const loadStates = new Set<unknown>(['serving', 'loading', 'leaving']);

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isAmount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function areAmounts(fields: Fields, names: readonly string[]): boolean {
	return names.every(name => isAmount(fields[name]));
}

function areTexts(fields: Fields, names: readonly string[]): boolean {
	return names.every(name => isText(fields[name]));
}

/** Decodes a JSON object. */
export function parseFields(text: string): Fields | undefined {
	try {
		const value: unknown = JSON.parse(text);
		return isRecord(value) ? value : undefined;
	} catch {
		return undefined;
	}
}

/** Parses a refusal, which says that the engine did not start the work. An unknown reason becomes `other`. */
export function parseRefusal(fields: Fields): {reason: EngineRefusalReason; message: string} | undefined {
	const {error} = fields;
	if (!isRecord(error) || !isText(error.reason)) {
		return undefined;
	}

	const reason = reasons.has(error.reason) ? error.reason as EngineRefusalReason : 'other';
	return {reason, message: isText(error.message) ? error.message : error.reason};
}

export function parseReservation(fields: Fields): Reservation | undefined {
	return areTexts(fields, ['reservationId']) && areAmounts(fields, ['expiresInMs']) ? fields as Reservation : undefined;
}

export function parsePrefill(fields: Fields): PrefillResult | undefined {
	return areTexts(fields, ['kvId']) && areAmounts(fields, ['promptTokens', 'cachedTokens', 'bytes', 'expiresInMs'])
		? fields as PrefillResult
		: undefined;
}

export function parseImport(fields: Fields): {bytes: number} | undefined {
	return areAmounts(fields, ['bytes']) ? fields as {bytes: number} : undefined;
}

export function parseCancel(fields: Fields): true | undefined {
	return areAmounts(fields, ['released']) ? true : undefined;
}

function isOwner(value: unknown): value is Owner {
	return isRecord(value) && isText(value.host) && isAmount(value.incarnation);
}

function isHold(value: unknown): value is Hold {
	return isRecord(value) && isText(value.requestId) && isOwner(value.owner) && holdKinds.has(value.kind)
		&& areAmounts(value, ['attempt', 'bytes', 'heldForMs', 'readers']);
}

export function parseHolds(fields: Fields): readonly Hold[] | undefined {
	const {holds} = fields;
	return Array.isArray(holds) && holds.every(hold => isHold(hold)) ? holds : undefined;
}

export function parseLoad(fields: Fields): LoadReport | undefined {
	const isWhole = areTexts(fields, ['server', 'model', 'version'])
		&& areAmounts(fields, ['ageMs', 'slotsTotal', 'slotsUsed', 'queued', 'queuedTokens', 'tokensPerSecond', 'linkBytesPerSecond', 'fence'])
		&& (fields.role === 'prefill' || fields.role === 'decode')
		&& loadStates.has(fields.state)
		&& Array.isArray(fields.adapters) && fields.adapters.every(adapter => isText(adapter));
	return isWhole ? fields as LoadReport : undefined;
}
