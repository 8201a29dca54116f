/**
 * Compares the configuration versions that peers report before a starting agent
 * takes one. Once the agent has a configuration, a newer version is fetched at once.
 */
import {type Log} from '../../../adapters/log/index.js';
import {checkSeal} from '../../../domain/check-seal/index.js';
import {createVersionGate, type ReportedVersion} from '../../../domain/create-version-gate/index.js';
import {toDigest} from '../../../_lib/to-digest/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';
import {type PlatformValue} from '../../../ports/platform.js';
import {msPerSecond} from '../../../ports/units.js';
import {askSeeds, type AskSeedsOptions} from './ask-seeds.js';
import {type KnownVersions} from './peer-messages.js';
import {type DocumentSpread} from './spread-document.js';

/** Longest delay of the platform's document while a newer one that a peer reported is fetched. */
const fetchWaitMs: Milliseconds = 2 * msPerSecond;

export type ReportComparisonOptions = Pick<AskSeedsOptions, 'seeds' | 'signal'> & {
	/** Calls the agent at an address whose host may not be known. */
	callAddress: AskSeedsOptions['call'];
	/** Handles the versions that a seed states; it passes them on to {@link ReportComparison.note}. */
	onVersions: AskSeedsOptions['onVersions'];
	/** Whether a configuration is in force. */
	hasConfig: () => boolean;
	spread: Pick<DocumentSpread, 'noteVersion' | 'whenFetched'>;
	/** Times for which versions wait, from the start of the agent on, milliseconds. */
	waits: {vouchedWaitMs: Milliseconds; unvouchedWaitMs: Milliseconds};
	startedAt: Milliseconds;
	now: () => Milliseconds;
	log: Log;
};

export type ReportComparison = {
	/** Handles the version that a peer reports. */
	note: (from: HostId, known: KnownVersions) => void;
	/** Fetches the newest version that peers reported if it is above the platform's, and no configuration is in force yet. */
	preferReported: (value: PlatformValue) => Promise<void>;
	/** Asks all seeds; settles when each has answered or is out of reach. */
	askSeeds: () => Promise<void>;
};

/**
 * Creates the comparison of one agent.
 *
 * @param options - See {@link ReportComparisonOptions}.
 * @returns See {@link ReportComparison}.
 */
export function createReportComparison({seeds, callAddress, onVersions, hasConfig, spread, waits, startedAt, now, log, signal}: ReportComparisonOptions): ReportComparison {
	const gate = createVersionGate({startedAt, ...waits});

	/** Notes versions for fetching, the newest first, so that the others are known to be older. */
	function fetchReported(reports: readonly ReportedVersion[]) {
		for (const {from, version} of reports) {
			spread.noteVersion(from, version);
		}
	}

	return {
		note(from, {config: version, confirmedAgeMs}) {
			if (hasConfig()) {
				spread.noteVersion(from, version);
			} else if (version !== undefined) {
				gate.note({from, version, isVouched: confirmedAgeMs !== undefined});
				fetchReported(gate.listUsable(now()));
			}
		},
		async preferReported({value: text, revision}) {
			const seal = checkSeal(text);
			if (hasConfig() || seal.isErr()) {
				return;
			}

			const newer = gate.listNewerThan({edition: seal.value.edition, revision, digest: toDigest(text)});
			const [newest] = newer;
			if (newest === undefined) {
				return;
			}

			log.info('configuration of a peer preferred to the platform\'s', {peer: newest.from, revision: newest.version.revision, revisionBefore: revision});
			fetchReported(newer);
			await Promise.race([spread.whenFetched(), waitFor(fetchWaitMs, signal)]);
		},
		async askSeeds() {
			await askSeeds({
				seeds,
				call: callAddress,
				onVersions,
				onFailure(address, reason) {
					log.debug('asking a seed for its versions failed', {peerAddress: address, reason});
				},
				signal,
			});
			gate.noteSeedsAsked();
			if (!hasConfig()) {
				fetchReported(gate.listUsable(now()));
			}
		},
	};
}
