/** Manages cuts that overlap. The network can only heal all cuts at once, so those still active are made again. */
import {type Network} from '../../_lib/start-fleet/_lib/network.js';

export type Cuts = {
	/** Makes a cut and returns a function that ends it. */
	add: (cut: (network: Network) => void) => () => void;
};

/** Creates the cuts of one network. */
export function createCuts(network: Network): Cuts {
	const lasting = new Set<(network: Network) => void>();
	return {
		add(cut) {
			lasting.add(cut);
			cut(network);
			return () => {
				lasting.delete(cut);
				network.heal();
				for (const other of lasting) {
					other(network);
				}
			};
		},
	};
}
