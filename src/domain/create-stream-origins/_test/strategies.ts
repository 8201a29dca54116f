/** Ways to find where a stream that was taken up again may go on. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type NamedPeer} from '../../../ports/shared-loads.js';
import {pickRecordKeepers} from '../../create-peer-list/_lib/pick-record-keepers.js';
import {rankAcrossZones} from '../../rank-across-zones/index.js';
import {type PickHosts} from './create-hosts.js';
import {type FindOrigin, type StreamsStrategy} from './simulate-streams.js';

/** Hosts in a fleet of which each tells all others. */
const smallFleet = 16;

const pickNone: PickHosts = () => [];
const pickAll: PickHosts = (_key, _self, known) => known.map(({address}) => address);

const pickKeepers: PickHosts = (key, {address, zone}, known) => pickRecordKeepers(key, {
	self: address, zone, others: known, isLarge: known.length > smallFleet,
});

/** Picks some hosts of all zones, whatever the size of the fleet. */
const pickSome = (count: number): PickHosts => (key, self, known) => {
	const all: readonly NamedPeer[] = [...known, {address: self.address, zone: self.zone}];
	return rankAcrossZones(key, all, count).filter(address => address !== self.address);
};

/** Infers the version from what the host has seen of the platform, where it has followed it for long enough and saw a single one. */
const inferAfter = (followedMs: Milliseconds): FindOrigin => ({host, key, world: {hosts, servers}}, settle) => {
	const now = hosts.now();
	const hasFollowed = now - host.startedAt >= followedMs && now - host.cutAt >= followedMs;
	const versions = servers.versionsSince(now - followedMs);
	const [only] = versions;
	if (hasFollowed && versions.size === 1) {
		settle({pool: 'letters', softwareVersion: only});
	} else {
		host.origins.find(key, now, settle);
	}
};

/** How the hosts do it. */
export const keepersStrategy: StreamsStrategy = {name: 'keepers', toKeepers: pickKeepers, toAsked: pickKeepers};

/** What it is compared with. */
export const otherStrategies: readonly StreamsStrategy[] = [
	{
		name: 'any server', toKeepers: pickNone, toAsked: pickNone, find(_request, settle) {
			settle('any');
		},
	},
	{name: 'own records', toKeepers: pickNone, toAsked: pickNone},
	{name: 'ask all', toKeepers: pickNone, toAsked: pickAll},
	{name: 'one copy', toKeepers: pickSome(1), toAsked: pickSome(1)},
	{name: 'two copies', toKeepers: pickSome(2), toAsked: pickSome(2)},
	{name: 'five copies', toKeepers: pickSome(5), toAsked: pickSome(5)},
	{
		name: 'inferred after 3 s, else ask all', toKeepers: pickNone, toAsked: pickAll, find: inferAfter(3000),
	},
	{
		name: 'inferred after 15 s, else ask all', toKeepers: pickNone, toAsked: pickAll, find: inferAfter(15_000),
	},
];
