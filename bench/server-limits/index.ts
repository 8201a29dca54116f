/** Compares ways in which hosts can keep, together, the limit that a server states. */
import {createQuotaKeeper, type QuotaKeeper} from '../../src/domain/create-quota-keeper/index.js';
import {createRandom} from '../../src/domain/_test/create-random.js';
import {type Milliseconds} from '../../src/ports/clock.js';
import {msPerSecond} from '../../src/ports/units.js';
import {
	countMost, createLimitedServer, takeFromKeeper, type Take,
} from '../../src/programs/relay/share-loads/_test/create-limited-server.js';
import {startHosts, type Host} from '../../src/programs/relay/share-loads/_test/start-hosts.js';

const ways = ['no limit', 'equal parts', 'counts told', 'keeper'] as const;

type Way = typeof ways[number];

const periodMs: Milliseconds = 4 * msPerSecond;
const settleMs: Milliseconds = 3 * msPerSecond;
const playMs: Milliseconds = 20 * msPerSecond;

/** Intervals at which hosts tell each other what they have sent, in a small and in a large fleet. */
const smallTellMs: Milliseconds = msPerSecond / 2;
const largeTellMs: Milliseconds = msPerSecond;
const mostOfSmallFleet = 16;

const unlimited: Take = (host, spend, now, settle) => {
	settle({isGranted: true, waitMs: 0});
};

function createEqualParts(count: number): Take {
	const keepers = new Map<Host, QuotaKeeper>();
	return (host, spend, now, settle) => {
		const keeper = keepers.get(host) ?? createQuotaKeeper({startedAt: -Infinity, startupMs: 0});
		keepers.set(host, keeper);
		settle(keeper.decide(spend, {share: 1 / count}, now));
	};
}

/** Each host admits what its own count and the last that others told leave of the limit within a second. */
function createToldCounts(count: number): Take {
	const tellMs = count > mostOfSmallFleet ? largeTellMs : smallTellMs;
	let sent: Array<{host: Host; at: Milliseconds}> = [];
	return (host, {rate}, now, settle) => {
		sent = sent.filter(({at}) => now - at < msPerSecond + tellMs);
		const toldAt = Math.floor(now / tellMs) * tellMs;
		const known = sent.filter(one => one.host === host ? now - one.at < msPerSecond : one.at < toldAt && toldAt - one.at <= msPerSecond).length;
		const isGranted = known < rate.perSecond;
		if (isGranted) {
			sent.push({host, at: now});
		}

		settle({isGranted, waitMs: 0});
	};
}

const toTake: Readonly<Record<Way, (count: number) => Take>> = {
	'no limit': () => unlimited, 'equal parts': createEqualParts, 'counts told': createToldCounts, keeper: () => takeFromKeeper,
};

async function play(way: Way, {count, perSecond, lossShare}: {count: number; perSecond: number; lossShare: number}) {
	const random = createRandom(count + Math.ceil(10 * perSecond));
	const fleet = await startHosts(count, {lossShare, random});
	fleet.pass(15 * msPerSecond);
	const server = createLimitedServer(fleet, random, toTake[way](count));
	server.setLimit(perSecond);
	server.ask(4 * perSecond, settleMs);
	const settledAt = fleet.now();
	const messagesBefore = fleet.quotaSent().messages;
	server.ask(4 * perSecond, playMs);
	const arrivals = server.arrivals.filter(at => at >= settledAt);
	return {
		way,
		count,
		perSecond,
		lossShare,
		most: countMost(server.told.filter(at => at >= settledAt), periodMs),
		allowed: (1.5 * perSecond * periodMs / msPerSecond) + 5,
		used: Math.round(100 * arrivals.length / (perSecond * playMs / msPerSecond)) / 100,
		messagesPerRequest: Math.round(10 * (fleet.quotaSent().messages - messagesBefore) / Math.max(1, arrivals.length)) / 10,
	};
}

/**
 * Runs the bench. Prints a row for each way and fleet.
 *
 * @returns The printed rows.
 */
export async function runServerLimitsBench() {
	const rows: Array<Awaited<ReturnType<typeof play>>> = [];
	for (const count of [7, 74, 400]) {
		for (const perSecond of [1.9, 4.8, 50]) {
			for (const way of ways) {
				rows.push(await play(way, {count, perSecond, lossShare: 0.05}));
			}
		}
	}

	console.table(rows);
	return rows;
}
