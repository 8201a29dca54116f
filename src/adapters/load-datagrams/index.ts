/**
 * Messages between hosts about their loads and crashes, one UDP datagram each, and
 * the socket that they share with messages about limits, places and streams.
 * Each message contains the sender's whole state, so the next message makes up
 * for a lost one.
 */
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {type Result} from 'neverthrow';
import * as v from 'valibot';
import {decodeOriginMessage, encodeOriginMessage, originFormat} from '../origin-datagrams/index.js';
import {decodePlaceMessage, encodePlaceMessage, placeFormat} from '../place-datagrams/index.js';
import {decodeQuotaMessage, encodeQuotaMessage, quotaFormat} from '../quota-datagrams/index.js';
import {decodeRow, encodeRow, toFormat} from '../_lib/datagram-rows/index.js';
import {type CrashReport} from '../../ports/crash-reports.js';
import {type PlaceMessage} from '../../ports/places.js';
import {type QuotaMessage} from '../../ports/quotas.js';
import {type OriginMessage} from '../../ports/stream-origins.js';
import {type HostLoad, type LoadMessage} from '../../ports/shared-loads.js';
import {catchUpSchema, fromCatchUpRow, toCatchUpRow} from './_lib/catch-up-row.js';
import {fromPartRows, partRowsSchema, toPartRows} from './_lib/part-rows.js';

/** Largest datagram that is not fragmented by the network. */
export const maxDatagramBytes = 1400;

/** Format number, the first item of each datagram. Datagrams of another format are dropped; no decision depends on them. */
const format = 3;

/** Stands for the format of a datagram that is too short to have one. */
const unknownFormat = -1;

/** Longest name that is accepted from another host. */
const maxNameLength = 64;

/** Maximum number of crash reports that are accepted in one message, and of crashes in each report. */
const maxReports = 64;
const maxCrashesOfReport = 8;

/** Maximum number of survived runs in a report. */
const maxSurvivals = 16;

/** Maximum number of pools in one message of which a host tells that their servers answered. */
export const maxAnswers = 16;

/** Maximum number of limits of servers in one message. */
const maxLimits = 16;

const name = v.pipe(v.string(), v.maxLength(maxNameLength));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const peerAddress = v.pipe(name, v.regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v));
/** Senders of a later build may add items. */
const schema = v.tupleWithRest([
	v.literal(format),
	name,
	name,
	count,
	count,
	v.array(v.tuple([name, count, count])),
	v.array(v.tuple([peerAddress, name])),
	v.boolean(),
	v.pipe(v.array(v.tupleWithRest([name, count, v.pipe(v.array(v.tuple([name, count])), v.maxLength(maxCrashesOfReport))], v.unknown())), v.maxLength(maxReports)),
], v.unknown());

/** Items after those of every build. */
const reachedShareSchema = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const limitsSchema = v.pipe(v.array(v.tuple([name, v.nullable(v.pipe(v.number(), v.finite(), v.minValue(0))), count])), v.maxLength(maxLimits));
const claimSchema = v.tuple([peerAddress, count, count]);
const answersSchema = v.pipe(v.array(v.tuple([count, count])), v.maxLength(maxAnswers));

const survivalAgesSchema = v.pipe(v.array(count), v.maxLength(maxSurvivals));

const toReportRow = ({fingerprint, idleMs, crashes, survivedMs, survivalAgesMs}: CrashReport) => [
	fingerprint,
	Math.round(idleMs),
	crashes.map(({server, ageMs}) => [server, Math.round(ageMs)]),
	...toAddedItems([
		survivedMs === undefined ? undefined : Math.round(survivedMs),
		survivalAgesMs?.map(ageMs => Math.round(ageMs)),
	]),
];

/** Share of the rows that is kept each time the encoded message is too long. */
const keptShare = 0.8;

/** Returns the items that later builds added, up to the last that is present. */
function toAddedItems(items: readonly unknown[]): unknown[] {
	const last = items.findLastIndex(item => item !== undefined);
	return items.slice(0, last + 1).map(item => item ?? null);
}

/** Encodes the rows of a message, of which there may be too many for one datagram. */
function createRowEncoder(message: LoadMessage): (rows: {loads: readonly HostLoad[]; reports: readonly unknown[]; parts: readonly CrashReport[]}) => Uint8Array {
	const {
		host, zone, incarnation, sequence, peers, isAsking, reachedShare, answers, limits = [], catchUp, orderClaim,
	} = message;
	const named = peers.map(peer => [peer.address, peer.zone]);
	const answerRows = answers?.map(({pool, ageMs}) => [pool, Math.round(ageMs)]);
	const limitRows = limits.map(({server, perSecond, ageMs}) => [server, perSecond ?? null, Math.round(ageMs)]);
	return ({loads, reports, parts}) => {
		const rows = loads.map(({server, requests, promptTokens}) => [server, requests, promptTokens]);
		const added = toAddedItems([
			reachedShare,
			answerRows,
			limitRows.length === 0 ? undefined : limitRows,
			parts.length === 0 ? undefined : toPartRows(parts),
			catchUp && toCatchUpRow(catchUp),
			orderClaim && [orderClaim.address, orderClaim.sinceMs, Math.round(orderClaim.ageMs)],
		]);
		return encodeRow([format, host, zone, incarnation, sequence, rows, named, isAsking, reports, ...added]);
	};
}

/**
 * Encodes a message. If it does not fit into one datagram, loads are left out,
 * the smallest first, then crash reports of requests and then those of parts, the
 * last first.
 *
 * @param message - The message.
 * @returns One datagram.
 */
export function encodeLoadMessage(message: LoadMessage): Uint8Array {
	const encode = createRowEncoder(message);
	const loads = message.loads.toSorted((a, b) => b.promptTokens - a.promptTokens || b.requests - a.requests);
	const reports = message.crashes.map(report => toReportRow(report));
	const parts = [...message.partCrashes ?? []];
	for (;;) {
		const bytes = encode({loads, reports, parts});
		const cut = [loads, reports].find(({length}) => length > 0) ?? parts;
		if (bytes.length <= maxDatagramBytes || cut.length === 0) {
			return bytes;
		}

		cut.length = Math.floor(cut.length * keptShare);
	}
}

/**
 * Splits a message whose reports do not fit into one datagram.
 *
 * @param message - The message.
 * @returns Messages of which each fits, in the order of the reports; one if all of them fit.
 */
export function splitLoadMessage(message: LoadMessage): readonly LoadMessage[] {
	const {crashes, partCrashes = []} = message;
	const count = crashes.length + partCrashes.length;
	const bytes = createRowEncoder(message)({loads: message.loads, reports: crashes.map(report => toReportRow(report)), parts: partCrashes});
	if (count <= 1 || (bytes.length <= maxDatagramBytes && crashes.length <= maxReports)) {
		return [message];
	}

	const half = Math.ceil(count / 2);
	const first = {...message, crashes: crashes.slice(0, half), partCrashes: partCrashes.slice(0, Math.max(0, half - crashes.length))};
	const second = {
		...message, loads: [], crashes: crashes.slice(half), partCrashes: partCrashes.slice(Math.max(0, half - crashes.length)),
	};
	return [...splitLoadMessage(first), ...splitLoadMessage(second)];
}

function toMessage(row: v.InferOutput<typeof schema>): LoadMessage {
	const [, host, zone, incarnation, sequence, rows, named, isAsking, reports, reachedShare, answerRows, limitRows, partRows, catchUpRow, claimRow] = row;
	const peers = named.map(([address, peerZone]) => ({address, zone: peerZone}));
	const crashes = reports.map(([fingerprint, idleMs, seen, survivedMs, survivalAgesMs]) => ({
		fingerprint, idleMs, crashes: seen.map(([server, ageMs]) => ({server, ageMs})), ...(v.is(count, survivedMs) && {survivedMs}), ...(v.is(survivalAgesSchema, survivalAgesMs) && {survivalAgesMs}),
	}));
	return {
		host,
		zone,
		incarnation,
		sequence,
		peers,
		isAsking,
		crashes,
		loads: rows.map(([server, requests, promptTokens]) => ({server, requests, promptTokens})),
		...(v.is(reachedShareSchema, reachedShare) && {reachedShare}),
		...(v.is(answersSchema, answerRows) && {answers: answerRows.map(([pool, ageMs]) => ({pool, ageMs}))}),
		...(v.is(limitsSchema, limitRows) && {limits: limitRows.map(([server, perSecond, ageMs]) => ({server, perSecond: perSecond ?? undefined, ageMs}))}),
		...(v.is(partRowsSchema, partRows) && {partCrashes: fromPartRows(partRows)}),
		...(v.is(catchUpSchema, catchUpRow) && {catchUp: fromCatchUpRow(catchUpRow)}),
		...(v.is(claimSchema, claimRow) && {orderClaim: {address: claimRow[0], sinceMs: claimRow[1], ageMs: claimRow[2]}}),
	};
}

/**
 * Decodes and validates a datagram from any sender.
 *
 * @param bytes - The datagram.
 * @returns The message, or the reason why it is invalid.
 */
export function decodeLoadMessage(bytes: Uint8Array): Result<LoadMessage, string> {
	return decodeRow(bytes, schema).map(row => toMessage(row));
}

export type LoadDatagrams = {
	/** Sends a message to each address; a datagram that can't be sent is dropped. */
	send: (message: LoadMessage, addresses: readonly string[]) => void;
	/** Sends a message about limits; a datagram that can't be sent is dropped. */
	sendQuota: (message: QuotaMessage, address: string) => void;
	/** The same for a message about places at servers. */
	sendPlace: (message: PlaceMessage, address: string) => void;
	/** The same for a message about the origins of streams. */
	sendOrigin: (message: OriginMessage, address: string) => void;
	close: () => Promise<void>;
};

export type LoadDatagramsOptions = {
	/** `IP:port` to listen on. */
	address: string;
	onMessage: (message: LoadMessage, from: string) => void;
	/** Called for a message about limits of workspaces. */
	onQuota?: (message: QuotaMessage, from: string) => void;
	/** Called for a message about places at servers. */
	onPlace?: (message: PlaceMessage, from: string) => void;
	/** Called for a message about the origins of streams. */
	onOrigin?: (message: OriginMessage, from: string) => void;
	/** Called for a datagram that is not a valid message, and for an error of the socket. */
	onFault: (reason: string) => void;
};

function toParts(address: string): {ip: string; port: number} {
	const colon = address.lastIndexOf(':');
	return {ip: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

/**
 * Listens for datagrams.
 *
 * @param options - Address, and handlers of messages and faults.
 * @returns The socket once it listens; rejects when the address can't be bound.
 */
export async function openLoadDatagrams({address, onMessage, onQuota = () => undefined, onPlace = () => undefined, onOrigin = () => undefined, onFault}: LoadDatagramsOptions): Promise<LoadDatagrams> {
	const socket = createSocket('udp4');
	const {ip, port} = toParts(address);

	function receive(bytes: Uint8Array, from: string): void {
		switch (toFormat(bytes) ?? unknownFormat) {
			case quotaFormat: {
				decodeQuotaMessage(bytes).match(message => {
					onQuota(message, from);
				}, onFault);
				break;
			}

			case placeFormat: {
				decodePlaceMessage(bytes).match(message => {
					onPlace(message, from);
				}, onFault);
				break;
			}

			case originFormat: {
				decodeOriginMessage(bytes).match(message => {
					onOrigin(message, from);
				}, onFault);
				break;
			}

			default: {
				decodeLoadMessage(bytes).match(message => {
					onMessage(message, from);
				}, onFault);
			}
		}
	}

	socket.on('message', (bytes, {address: from, port: fromPort}) => {
		receive(bytes, `${from}:${fromPort}`);
	});
	socket.bind(port, ip);
	await once(socket, 'listening');
	socket.on('error', error => {
		onFault(error.message);
	});

	function sendBytes(bytes: Uint8Array, to: string): void {
		const {ip: host, port: toPort} = toParts(to);
		socket.send(bytes, toPort, host, error => {
			if (error !== null) {
				onFault(error.message);
			}
		});
	}

	return {
		send(message, addresses) {
			const bytes = encodeLoadMessage(message);
			for (const to of addresses) {
				sendBytes(bytes, to);
			}
		},
		sendQuota(message, to) {
			sendBytes(encodeQuotaMessage(message), to);
		},
		sendPlace(message, to) {
			sendBytes(encodePlaceMessage(message), to);
		},
		sendOrigin(message, to) {
			sendBytes(encodeOriginMessage(message), to);
		},
		async close() {
			socket.close();
			await once(socket, 'close');
		},
	};
}
