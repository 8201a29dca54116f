/**
 * Rows of a datagram that report crashes by part of prompts. A server that ends makes
 * suspects of many parts at once, so first crashes are grouped by their server.
 */
import * as v from 'valibot';
import {type CrashReport} from '../../../ports/crash-reports.js';

/** Maximum number of parts that are accepted in one message. */
const maxParts = 256;
const maxCrashesOfPart = 16;

/** Longest name that is accepted from another host. */
const maxNameLength = 64;

const name = v.pipe(v.string(), v.maxLength(maxNameLength));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A server, the age of its end, and parts of which this is the only crash. */
const firstRowSchema = v.tuple([name, count, v.pipe(v.array(name), v.maxLength(maxParts))]);

/** A part, the time since it was last seen, its crashes, and the time since a server last survived it. */
const partRowSchema = v.tuple([name, count, v.pipe(v.array(v.tuple([name, count])), v.maxLength(maxCrashesOfPart)), v.nullable(count)]);

export const partRowsSchema = v.tuple([
	v.pipe(v.array(firstRowSchema), v.maxLength(maxParts)),
	v.pipe(v.array(partRowSchema), v.maxLength(maxParts)),
]);

export type PartRows = v.InferOutput<typeof partRowsSchema>;

/** A report that its only crash describes: the part was last seen at that crash. */
const isFirst = ({crashes, idleMs, survivedMs}: CrashReport): boolean => crashes.length === 1 && survivedMs === undefined && Math.round(idleMs) === Math.round(crashes[0]!.ageMs);

/**
 * @param reports - Reports of crashes by part.
 * @returns Their rows.
 */
export function toPartRows(reports: readonly CrashReport[]): PartRows {
	const firsts = new Map<string, [string, number, string[]]>();
	const others: PartRows[1] = [];
	for (const report of reports) {
		const {fingerprint, idleMs, crashes, survivedMs} = report;
		const seen = crashes.map(({server, ageMs}): [string, number] => [server, Math.round(ageMs)]);
		if (isFirst(report)) {
			const [server, ageMs] = seen[0]!;
			const key = `${server} ${ageMs}`;
			firsts.set(key, [server, ageMs, [...firsts.get(key)?.[2] ?? [], fingerprint]]);
		} else {
			others.push([fingerprint, Math.round(idleMs), seen, survivedMs === undefined ? null : Math.round(survivedMs)]);
		}
	}

	return [[...firsts.values()], others];
}

/**
 * @param rows - Rows of a message.
 * @returns The reports.
 */
export function fromPartRows([firsts, others]: PartRows): CrashReport[] {
	return [
		...firsts.flatMap(([server, ageMs, parts]) => parts.map(fingerprint => ({fingerprint, idleMs: ageMs, crashes: [{server, ageMs}]}))),
		...others.map(([fingerprint, idleMs, seen, survivedMs]) => ({
			fingerprint, idleMs, crashes: seen.map(([server, ageMs]) => ({server, ageMs})), ...(survivedMs !== null && {survivedMs}),
		})),
	];
}
