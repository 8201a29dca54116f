/** Compares ways to find the software version with which a stream may go on, in virtual time. */
import {encodeOriginMessage} from '../../src/adapters/origin-datagrams/index.js';
import {fleets, toScenarios} from '../../src/domain/create-stream-origins/_test/scenarios.js';
import {simulateStreams} from '../../src/domain/create-stream-origins/_test/simulate-streams.js';
import {keepersStrategy, otherStrategies} from '../../src/domain/create-stream-origins/_test/strategies.js';
import {type OriginMessage} from '../../src/ports/stream-origins.js';

const seeds = [1, 2, 3];

/** A fleet so large that a run takes most of a minute; the other ways are tried on the smaller ones. */
const largeHosts = 400;
const seedsOfLarge = [1];
const strategiesOfLarge = new Set(['ask all', 'two copies']);

/** Bytes of the headers of a datagram, of IP and UDP. */
const headerBytes = 28;

const toBytes = (message: OriginMessage): number => encodeOriginMessage(message).length + headerBytes;

const toShare = (part: number, whole: number): string => whole === 0 ? '' : (part / whole).toFixed(2);

type Row = Readonly<Record<string, string | number>>;

function runOne(fleet: typeof fleets[number], strategy: typeof keepersStrategy): readonly Row[] {
	return toScenarios(fleet).flatMap(scenario => (fleet.hosts >= largeHosts ? seedsOfLarge : seeds).map(seed => {
		const result = simulateStreams(scenario, strategy, {seed, toBytes});
		return {
			hosts: fleet.hosts, strategy: strategy.name, scenario: scenario.name, seed, streams: result.streams, joined: result.joined, resumedInTouch: result.resumed, shareInTouch: toShare(result.wentOn, result.resumed), shareAnywhere: toShare(result.wentOnAnywhere, result.resumedAnywhere), messagesPerSecond: Math.round(result.messagesPerSecond * 100) / 100, bytesPerSecond: Math.round(result.bytesPerSecond),
		};
	}));
}

/**
 * Runs the bench. Prints a row for each fleet, strategy, scenario and seed, then all rows as JSON.
 *
 * @returns The printed rows.
 */
export function runStreamOriginsBench(): readonly Row[] {
	const rows = fleets.flatMap(fleet => {
		const others = otherStrategies.filter(({name}) => fleet.hosts < largeHosts || strategiesOfLarge.has(name));
		const ofFleet = [keepersStrategy, ...others].flatMap(strategy => runOne(fleet, strategy));
		console.table(ofFleet);
		return ofFleet;
	});
	console.log(JSON.stringify({bench: 'stream-origins', rows}));
	return rows;
}
