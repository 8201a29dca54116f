import {err, ok, type Result} from 'neverthrow';
import {loadKeys, reportKeys, type Keys} from '../../adapters/keys/index.js';
import {type Log} from '../../adapters/log/index.js';
import {type Metrics} from '../../adapters/metrics/index.js';
import {type PeerKeys} from '../../adapters/peer-tcp/index.js';

/** Settings from which keys are loaded; entry and agent have those of their own ports. */
export type KeySettings = {
	keyPollInterval: number;
	tlsCertFile?: string | undefined;
	tlsKeyFile?: string | undefined;
	peerTlsCertFile?: string | undefined;
	peerTlsKeyFile?: string | undefined;
	peerTlsCaFile?: string | undefined;
	operatorTlsCertFile?: string | undefined;
	operatorTlsKeyFile?: string | undefined;
};

/** Keys of a program's ports; `undefined` where TLS is off. */
export type ProgramKeys = {
	caller: Keys | undefined;
	operator: Keys | undefined;
	/** Present peer keys, as `listenPeers` and `connectPeer` take them. */
	peer: (() => PeerKeys) | undefined;
	/** Calls a function whenever the peer keys have changed, for `reloadKeys` of the listener. */
	onPeerKeys: (listener: () => void) => void;
	/** What operators should know of the keys now. */
	toReasons: () => string[];
	stop: () => void;
};

/**
 * Loads the keys of a program's ports and reports on them.
 *
 * @param settings - Key files.
 * @param report - Log and metrics.
 * @returns The keys, or a message that names the file, what is wrong and the remedy.
 *
 * @example
 * ```ts
 * const keys = await loadProgramKeys(settings, {log, metrics});
 * if (keys.isErr()) {
 * 	log.error('cannot start', {reason: keys.error});
 * 	process.exit(2);
 * }
 *
 * const peers = await listenPeers({...options, tls: keys.value.peer});
 * keys.value.onPeerKeys(peers.reloadKeys);
 * ```
 */
export async function loadProgramKeys(settings: KeySettings, report: {log: Log; metrics: Metrics}): Promise<Result<ProgramKeys, string>> {
	const pollInterval = settings.keyPollInterval;
	const load = async (certFile: string | undefined, keyFile: string | undefined, caFile?: string): Promise<Result<Keys | undefined, string>> => {
		if (certFile === undefined || keyFile === undefined) {
			return ok(undefined);
		}

		const loaded = await loadKeys({
			certFile, keyFile, caFile, pollInterval,
		});
		return loaded.mapErr(fault => `${fault.file} ${fault.message}`);
	};

	const caller = await load(settings.tlsCertFile, settings.tlsKeyFile);
	const operator = await load(settings.operatorTlsCertFile, settings.operatorTlsKeyFile);
	const peer = await load(settings.peerTlsCertFile, settings.peerTlsKeyFile, settings.peerTlsCaFile);
	const failed = [caller, operator, peer].find(each => each.isErr());
	if (failed !== undefined) {
		return err(failed._unsafeUnwrapErr());
	}

	const keys = {caller: caller._unsafeUnwrap(), operator: operator._unsafeUnwrap(), peer: peer._unsafeUnwrap()};
	const toReasons = reportKeys({keys, ...report});
	return ok({
		caller: keys.caller,
		operator: keys.operator,
		peer: keys.peer && toPeerKeys(keys.peer),
		onPeerKeys(listener) {
			keys.peer?.listen(event => {
				if (event.kind === 'reloaded') {
					listener();
				}
			});
		},
		toReasons,
		stop() {
			for (const each of Object.values(keys)) {
				each?.stop();
			}
		},
	});
}

function toPeerKeys(keys: Keys): () => PeerKeys {
	return () => {
		const {cert, key, ca} = keys.current();
		// The three files are set together or not at all, which the settings check.
		return {cert, key, ca: ca ?? ''};
	};
}
