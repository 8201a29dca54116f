import {createOutcomeLedger} from '../../outcome-ledger/index.js';
import {type PlainRun} from './types.js';

/** What is known of a request before its first call. */
export type PlainRunInput = Pick<PlainRun, 'exchange' | 'route' | 'ctx' | 'clients' | 'account' | 'log' | 'fingerprint' | 'parts' | 'isTrial' | 'work' | 'body' | 'receivedAt' | 'deadline' | 'signal' | 'stream'>;

/**
 * Creates the run of a request that has not been sent to any server.
 *
 * @param input - See {@link PlainRunInput}.
 * @returns The run, to which its calls add.
 */
export function createPlainRun(input: PlainRunInput): PlainRun {
	const {exchange, route} = input;
	return {
		...input,
		ledger: createOutcomeLedger(),
		events: route.rule.then.relay?.isResumable === true ? {hasBegun: false, lastId: undefined} : undefined,
		tried: [],
		sentTo: new Set(),
		peersTried: new Set(),
		unreached: new Set(),
		runs: exchange.passed?.runs ?? 0,
		isDecodeOnly: false,
		bounces: 0,
	};
}
