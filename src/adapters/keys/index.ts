/**
 * Keys and certificates from files, read again when the files change.
 */
import {err, ok, type Result} from 'neverthrow';
import {type Milliseconds} from '../../ports/clock.js';
import {
	type KeyFault, type KeyFiles, type KeyPair, readKeyPair, type TlsOptions,
} from './read-key-pair.js';

export {type KeyFault, type KeyFiles, type TlsOptions} from './read-key-pair.js';
export {reportKeys} from './report-keys.js';

/** Result of a check of the key files. */
export type KeyEvent =
	| {kind: 'reloaded'; expiresAt: Milliseconds}
	/** The files changed and can't be used; the old keys stay in use. */
	| {kind: 'kept-old'; fault: KeyFault}
	/** The files are usable again and equal to the keys in use. */
	| {kind: 'recovered'};

export type KeyListener = (event: KeyEvent) => void;

export type Keys = {
	/** TLS options with the keys in use. */
	current: () => TlsOptions;
	/** Wall-clock time at which the first certificate in use expires. */
	expiresAt: () => Milliseconds;
	/** Why the present files can't be used, for the readiness document; `undefined` when they can. */
	fault: () => KeyFault | undefined;
	/** Calls the listener for every later event; a server then sets the new keys with `setSecureContext`. */
	listen: (listener: KeyListener) => void;
	/** Checks the files now instead of at the next interval. */
	check: () => Promise<void>;
	stop: () => void;
};

export type LoadKeysOptions = KeyFiles & {
	/** Interval at which files are checked. */
	pollInterval: Milliseconds;
	wallNow?: () => Milliseconds;
	/** Calls a function repeatedly until the returned function is called. */
	repeat?: (task: () => void, interval: Milliseconds) => () => void;
};

/**
 * Loads keys and keeps them up to date.
 *
 * New files take effect for new connections; open connections keep the keys they
 * began with, so that no request is dropped. Files are replaced one after the
 * other, and staff make mistakes. If the files can't be used together, the old
 * keys stay in use, and listeners and {@link Keys.fault} report the fault until
 * it is fixed.
 *
 * @param options - Files, and the interval of checks.
 * @returns The keys, or why they can't be used. A fault at the start is final, since there are no old keys.
 */
export async function loadKeys(options: LoadKeysOptions): Promise<Result<Keys, KeyFault>> {
	const {wallNow = Date.now, repeat = repeatUnreferenced} = options;
	const first = await readKeyPair(options, wallNow());
	if (first.isErr()) {
		return err(first.error);
	}

	let pair: KeyPair = first.value;
	let fault: KeyFault | undefined;
	let isChecking = false;
	const listeners: KeyListener[] = [];

	function notify(event: KeyEvent): void {
		for (const listener of listeners) {
			listener(event);
		}
	}

	function applyRead(read: Result<KeyPair, KeyFault>): void {
		if (read.isErr()) {
			const isNew = fault?.message !== read.error.message || fault.file !== read.error.file;
			fault = read.error;
			if (isNew) {
				notify({kind: 'kept-old', fault: read.error});
			}

			return;
		}

		const hadFault = fault !== undefined;
		fault = undefined;
		if (read.value.digest !== pair.digest) {
			pair = read.value;
			notify({kind: 'reloaded', expiresAt: pair.expiresAt});
		} else if (hadFault) {
			notify({kind: 'recovered'});
		}
	}

	async function check(): Promise<void> {
		// Checks must not overlap: on a slow file system reads would queue up, and an older read could overwrite a newer one.
		if (isChecking) {
			return;
		}

		isChecking = true;
		applyRead(await readKeyPair(options, wallNow()));
		isChecking = false;
	}

	const stop = repeat(() => {
		void check();
	}, options.pollInterval);

	return ok({
		current: () => pair.tls,
		expiresAt: () => pair.expiresAt,
		fault: () => fault,
		listen(listener) {
			listeners.push(listener);
		},
		check,
		stop,
	});
}

function repeatUnreferenced(task: () => void, interval: Milliseconds): () => void {
	const timer = setInterval(task, interval);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
}
