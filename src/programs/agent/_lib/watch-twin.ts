/** Reports a twin: another live agent that runs under this host's name. */
import {type Log} from '../../../adapters/log/index.js';
import {type HostId} from '../../../ports/ids.js';
import {type AgentReason} from './agent-types.js';

export type TwinWatch = {
	/** Logs when a twin has appeared or is gone; called on every tick. */
	check: () => void;
	reasons: () => readonly AgentReason[];
};

/**
 * Creates the watch.
 *
 * @param options - Name and address of this agent, and the address of its twin if there is one.
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
		reason: `another agent also runs as host ${hostId}: at ${other}, and this one at ${address}; other hosts alternate between the two`,
		remedy: 'stop agent and entry of the host that was to be replaced, or set a different --host-id for one of the two',
	});

	return {
		check() {
			const other = twin();
			if (other === reported) {
				return;
			}

			reported = other;
			if (other === undefined) {
				log.info('the other agent under this host\'s name is gone');
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
