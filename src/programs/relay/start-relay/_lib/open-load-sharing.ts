/** Talks to other hosts, where the settings say how. */
import {type Log} from '../../../../adapters/log/index.js';
import {type CrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {type Clock} from '../../../../ports/clock.js';
import {type Incarnation} from '../../../../ports/ids.js';
import {type RelaySettings} from '../../../_settings/index.js';
import {shareLoads, type LoadExchange} from '../../share-loads/index.js';

/** Seeds are named by their control addresses; the port for peers is the same on all hosts. */
function toPeerAddresses(seeds: readonly string[], peerAddress: string): string[] {
	return seeds.map(seed => `${seed.slice(0, seed.lastIndexOf(':'))}:${peerAddress.slice(peerAddress.lastIndexOf(':') + 1)}`);
}

/**
 * Starts to share loads. Nothing depends on hearsay, so a host that can't hear
 * others serves alone.
 *
 * @param options - Settings, clock, log, and what is known of requests under which servers ended.
 * @param incarnation - Of this process.
 * @returns What is heard; `undefined` without an address for peers, or when it can't be had.
 */
export async function openLoadSharing({
	settings, clock, log, suspects,
}: {settings: RelaySettings; clock: Clock; log: Log; suspects: CrashSuspects}, incarnation: Incarnation): Promise<LoadExchange | undefined> {
	const {
		peerAddress, seeds, hostId, zone,
	} = settings;
	if (peerAddress === undefined) {
		return undefined;
	}

	try {
		return await shareLoads({
			address: peerAddress, seeds: toPeerAddresses(seeds, peerAddress), host: hostId, zone, incarnation, clock, log, suspects,
		});
	} catch (error) {
		log.error('peers can\'t be heard, this host places its requests by what it knows itself', {peerAddress, reason: error instanceof Error ? error.message : String(error), remedy: 'free the address of --peer-address'});
		return undefined;
	}
}
