/** Opens the exchange of loads with other hosts, if the settings give an address for it. */
import {type Log} from '../../../../adapters/log/index.js';
import {type CrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {type OrderAuthority} from '../../../../domain/create-order-authority/index.js';
import {type PartQuarantine} from '../../../../domain/create-part-quarantine/index.js';
import {type RequestLimits} from '../../../../domain/create-request-limits/index.js';
import {type Clock} from '../../../../ports/clock.js';
import {type Incarnation} from '../../../../ports/ids.js';
import {type RelaySettings} from '../../../_settings/index.js';
import {shareLoads, type LoadExchange} from '../../share-loads/index.js';
import {type LinkWatch} from '../../watch-links/index.js';

/** Returns the peer addresses of seeds, which the settings list by control address; the peer port is the same on all hosts. */
function toPeerAddresses(seeds: readonly string[], peerAddress: string): string[] {
	return seeds.map(seed => `${seed.slice(0, seed.lastIndexOf(':'))}:${peerAddress.slice(peerAddress.lastIndexOf(':') + 1)}`);
}

/**
 * Starts to share loads. Loads of other hosts only improve placement, so a host
 * that can't receive them serves without them.
 *
 * @param options - Settings, clock, log, the requests and the parts of prompts suspected of crashing servers, the limits that servers state, the links of this host, and which host gives orders.
 * @param incarnation - Incarnation of this process.
 * @returns The running exchange; `undefined` without an address for peers, or if that address can't be opened.
 */
export async function openLoadSharing({
	settings, clock, log, suspects, partQuarantine, requestLimits, links, orderAuthority,
}: {settings: RelaySettings; clock: Clock; log: Log; suspects: CrashSuspects; partQuarantine: PartQuarantine; requestLimits: RequestLimits; links: Pick<LinkWatch, 'toAnswers' | 'noteAnswers'>; orderAuthority: OrderAuthority}, incarnation: Incarnation): Promise<LoadExchange | undefined> {
	const {
		peerAddress, seeds, hostId, zone,
	} = settings;
	if (peerAddress === undefined) {
		return undefined;
	}

	try {
		return await shareLoads({
			address: peerAddress, seeds: toPeerAddresses(seeds, peerAddress), host: hostId, zone, incarnation, clock, log, suspects, partQuarantine, limits: requestLimits, toAnswers: links.toAnswers, onAnswers: links.noteAnswers, orderAuthority,
		});
	} catch (error) {
		log.error('cannot open the peer address; this host places requests without the loads of other hosts', {peerAddress, reason: error instanceof Error ? error.message : String(error), remedy: 'free the address of --peer-address'});
		return undefined;
	}
}
