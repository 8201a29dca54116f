import {err, ok, type Result} from 'neverthrow';
import {loadKeys, reportKeys, type Keys} from '../../adapters/keys/index.js';
import {type Log} from '../../adapters/log/index.js';
import {type Metrics} from '../../adapters/metrics/index.js';
import {type PeerKeys} from '../../adapters/peer-tcp/index.js';

/** Settings that name the key files; each program has those of its own ports. */
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
	/** Returns the current peer keys, in the form that `listenPeers` and `connectPeer` take. */
	peer: (() => PeerKeys) | undefined;
	/** Registers a function that is called after each reload of the peer keys, such as `reloadKeys` of the peers' listener. */
	onPeerKeys: (listener: () => void) => void;
	/** Returns the current problems of the keys, for operators. */
	toReasons: () => string[];
	stop: () => void;
};

/**
 * Loads the keys of a program's ports, and reports their state in the log and the metrics.
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
		// The check of the settings refuses peer keys without a CA file, so `ca` is always set here.
		return {cert, key, ca: ca ?? ''};
	};
}
