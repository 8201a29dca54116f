/** Tells staff of another live agent under this host's name. */
import {type Log} from '../../../adapters/log/index.js';
import {type HostId} from '../../../ports/ids.js';
import {type AgentReason} from './agent-types.js';

export type TwinWatch = {
	/** Logs that a twin has appeared or is gone; called on every tick. */
	check: () => void;
	reasons: () => readonly AgentReason[];
};

/**
 * Creates it.
 *
 * @param options - Name and address of this agent, and the address of its twin, if there is one.
 * @returns See {@link TwinWatch}.
 */
export function watchTwin({hostId, address, twin, log}: {
	hostId: HostId;
	address: string;
	twin: () => string | undefined;
	log: Log;
}): TwinWatch {
	let reported: string | undefined;

	const toReason = (other: string): AgentReason => ({
		reason: `another agent runs as host ${hostId}: at ${other}, and this one at ${address}; the others believe now the one, now the other`,
		remedy: 'stop agent and entry of the one that was to be replaced, or give one of them a --host-id of its own',
	});

	return {
		check() {
			const other = twin();
			if (other === reported) {
				return;
			}

			reported = other;
			if (other === undefined) {
				log.info('no other agent runs under this host\'s name any more');
			} else {
				log.error('two agents under one host name', {peerAddress: other, ...toReason(other)});
			}
		},
		reasons() {
			const other = twin();
			return other === undefined ? [] : [toReason(other)];
		},
	};
}
