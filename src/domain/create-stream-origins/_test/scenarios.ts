/** Fleets, releases and faults that a way to find origins is tried on. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ModelEvent, type StreamsScenario, type World} from './simulate-streams.js';

const lengthMs: Milliseconds = 45_000;
const rollEveryMs: Milliseconds = 500;

const release: readonly ModelEvent[] = [
	{
		at: 4000, act({servers}) {
			servers.release('v2', 0.5);
		},
	},
	{
		at: 24_000, act({servers}) {
			servers.release('v1', 0.5);
		},
	},
	...[10_000, 18_000, 32_000].map(at => ({
		at, act({servers}: World) {
			servers.crash(0.15);
		},
	})),
];

const killShare = (at: Milliseconds, share: number): ModelEvent => ({
	at, act({hosts, random}) {
		for (const host of hosts.hosts) {
			if (host.isAlive && random() < share) {
				hosts.kill(host);
			}
		}
	},
});

/** Kills all hosts, one after the other. */
const roll = (from: Milliseconds, count: number): readonly ModelEvent[] => Array.from({length: count}, (_, i) => ({
	at: from + (i * rollEveryMs), act({hosts}: World) {
		hosts.kill(hosts.hosts[i]!);
	},
}));

const cut = (from: Milliseconds, until: Milliseconds, zone: string): readonly ModelEvent[] => [
	{
		at: from, act({hosts}) {
			hosts.cutZone(zone);
		},
	},
	{
		at: until, act({hosts}) {
			hosts.heal();
		},
	},
];

/** Size of a deployment. */
export type Fleet = Pick<StreamsScenario, 'hosts' | 'zones' | 'servers' | 'streamsPerSecond'>;

export const fleets: readonly Fleet[] = [
	{
		hosts: 7, zones: 3, servers: 9, streamsPerSecond: 12,
	},
	{
		hosts: 74, zones: 3, servers: 100, streamsPerSecond: 80,
	},
	{
		hosts: 400, zones: 12, servers: 400, streamsPerSecond: 100,
	},
];

/**
 * @param fleet - Size of the deployment.
 * @returns Scenarios of a release and its rollback, each beside other faults.
 */
export function toScenarios(fleet: Fleet): readonly StreamsScenario[] {
	const base = {...fleet, lengthMs, lossShare: 0.02};
	const rolled = Math.min(fleet.hosts, Math.floor((lengthMs - 12_000) / rollEveryMs));
	return [
		{...base, name: 'releases', events: release},
		{...base, name: 'no release, 60 % of the hosts killed at once', events: [killShare(12_000, 0.6), killShare(30_000, 0.6)]},
		{...base, name: 'releases, 60 % of the hosts killed at once', events: [...release, killShare(12_000, 0.6), killShare(30_000, 0.6)]},
		{...base, name: 'releases, hosts killed in turn every 0.5 s', events: [...release, ...roll(8000, rolled)]},
		{...base, name: 'releases, a zone cut off for 9 s, half of the hosts killed', events: [...release, ...cut(9000, 18_000, 'z1'), killShare(13_000, 0.5)]},
		{
			...base, lossShare: 0.1, name: 'releases, a tenth of the messages lost, 60 % killed', events: [...release, killShare(12_000, 0.6), killShare(30_000, 0.6)],
		},
	];
}
