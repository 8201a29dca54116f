import {type Log} from '../../../../adapters/log/index.js';
import {type loadSettings} from '../../../../adapters/settings/index.js';
import {type relaySettings} from '../../../_settings/index.js';

export type OrdersReaderOptions = {
	log: Log;
	/** Reads the environment, which is parsed only if it has changed. */
	readEnv: () => NodeJS.ProcessEnv;
	/** Parses the settings. */
	load: () => ReturnType<typeof loadSettings<typeof relaySettings>>;
};

/**
 * Creates a function that reads which host gives orders by the settings in force.
 * Settings that can't be read leave the last known host, and are logged once.
 *
 * @param atStart - Control address of that host by the settings read at the start.
 * @param options - See {@link OrdersReaderOptions}.
 * @returns The function; it returns the control address, `undefined` if no host gives orders.
 */
export function createOrdersReader(atStart: string | undefined, {log, readEnv, load}: OrdersReaderOptions): () => string | undefined {
	let last = atStart;
	let lastText: string | undefined;
	let isFaultLogged = false;

	function noteFault(reason: string): void {
		if (!isFaultLogged) {
			isFaultLogged = true;
			log.error('settings cannot be read; the host that they named last gives orders', {reason});
		}
	}

	function readChanged(): void {
		const text = JSON.stringify(readEnv());
		if (text === lastText) {
			return;
		}

		lastText = text;
		const loaded = load();
		if (loaded.kind === 'exit') {
			noteFault(loaded.stderr);
			return;
		}

		last = loaded.settings.values.ordersFrom;
		isFaultLogged = false;
	}

	return () => {
		try {
			readChanged();
		} catch (error) {
			noteFault(error instanceof Error ? error.message : String(error));
		}

		return last;
	};
}
