/** Runs a stand-in as a program: logs where it listens and stops it on a signal. */
import process from 'node:process';

type StandIn = {
	/** Name of the stand-in, if it has one. */
	id?: string;
	port: number;
	url: string;
	stop: () => Promise<void>;
};

/**
 * Logs the `listening` line of a stand-in and stops it at SIGTERM or SIGINT.
 *
 * @param standIn - A stand-in that is listening.
 */
export function runStandIn({id, port, url, stop}: StandIn): void {
	const end = async (): Promise<void> => {
		await stop();
		process.exit(0);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void end();
		});
	}

	console.log(JSON.stringify({
		level: 'info', message: 'listening', id, port, url,
	}));
}
