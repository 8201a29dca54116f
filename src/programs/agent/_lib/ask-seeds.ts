/** Asks each seed of a starting agent which versions it holds. */
import {type Result} from 'neverthrow';
import {isRecord} from '../../../_lib/is-record/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {type PeerFailure} from '../../../adapters/peer-tcp/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';
import {isHostVersions, peerCalls, type KnownVersions} from './peer-messages.js';

/** A second try reaches a seed that a busy machine or a restart kept from answering the first one. */
const triesForSeed = 2;
const retryGapMs: Milliseconds = 200;
const callTimeoutMs: Milliseconds = 1000;

export type AskSeedsOptions = {
	/** `IP:port` of each seed. */
	seeds: readonly string[];
	/** Calls the agent at an address. */
	call: (address: string, method: string, body: unknown, options: {timeoutMs: Milliseconds}) => Promise<Result<unknown, PeerFailure>>;
	onVersions: (from: HostId, known: KnownVersions) => void;
	/** Called with the reason when a seed did not answer. */
	onFailure: (address: string, reason: string) => void;
	signal: AbortSignal;
};

async function askSeed(address: string, {call, onVersions, onFailure, signal}: AskSeedsOptions): Promise<void> {
	for (let tries = 1; tries <= triesForSeed && !signal.aborted; tries++) {
		const reply = await call(address, peerCalls.versions, {}, {timeoutMs: callTimeoutMs});
		if (reply.isOk() && isRecord(reply.value) && isHostVersions(reply.value)) {
			onVersions(reply.value.host, reply.value);
			return;
		}

		const reason = reply.isErr() ? reply.error.message : 'the reply is malformed';
		onFailure(address, reason);
		// A peer of a build without this call has answered; it states its versions in its next message.
		if (reply.isOk() || reply.error.kind === 'failed') {
			return;
		}

		if (tries < triesForSeed) {
			await waitFor(retryGapMs, signal);
		}
	}
}

/**
 * Asks all seeds at once.
 *
 * @param options - See {@link AskSeedsOptions}.
 * @returns Settles when each seed has answered or was tried in vain.
 */
export async function askSeeds(options: AskSeedsOptions): Promise<void> {
	await Promise.all(options.seeds.map(async address => askSeed(address, options)));
}
