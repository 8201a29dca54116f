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

/** What happened to the keys since the last look. */
export type KeyEvent =
	| {kind: 'reloaded'; expiresAt: Milliseconds}
	/** The files changed to something that cannot be used; the old keys stay in use. */
	| {kind: 'kept-old'; fault: KeyFault}
	/** The files are again what is in use. */
	| {kind: 'recovered'};

export type KeyListener = (event: KeyEvent) => void;

export type Keys = {
	/** Options of the keys in use. */
	current: () => TlsOptions;
	/** Wall-clock time at which the first certificate in use ends. */
	expiresAt: () => Milliseconds;
	/** Why the files cannot be used, while they differ from the keys in use; for readiness. */
	fault: () => KeyFault | undefined;
	/** Tells of every later event; a server takes new keys here with `setSecureContext`. */
	listen: (listener: KeyListener) => void;
	/** Looks at the files now, out of turn. */
	check: () => Promise<void>;
	stop: () => void;
};

export type LoadKeysOptions = KeyFiles & {
	/** How often files are looked at. */
	pollInterval: Milliseconds;
	wallNow?: () => Milliseconds;
	/** Calls a function again and again until the function it returns is called. */
	repeat?: (task: () => void, interval: Milliseconds) => () => void;
};

/**
 * Loads keys and keeps them up to date.
 *
 * New files take effect for new connections; open ones go on with the keys they
 * began with, so that no request is dropped. Files are replaced one after the
 * other, and staff make mistakes: whatever cannot be used as a whole is not
 * taken, the old keys stay, and listeners and {@link Keys.fault} say so until
 * it is mended.
 *
 * @param options - Files, and how often to look at them.
 * @returns The keys, or why they cannot be used. A fault at the start is final, since there is nothing to go on with.
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
		// A slow file system must not pile up reads, nor let an older one win.
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
