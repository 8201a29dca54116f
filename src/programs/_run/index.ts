/** Runs a program that serves callers, from its start to its planned stop. */
import process from 'node:process';
import {type Log} from '../../adapters/log/index.js';

const logFlushMs = 1000;
/** Exit codes; invalid settings exit with 2 as well. */
const startFailureCode = 2;
const abandonedCode = 1;

/** A started program that serves callers: an entry or a relay. */
export type RunningProgram = {
	callerPort: number;
	peerPort: number;
	operatorPort: number;
	/** Finishes everything in progress, then closes. */
	stop: () => Promise<void>;
	/** Aborts everything in progress, waits briefly for the cancels, and returns the ids of the abandoned requests. */
	abandon: () => Promise<string[]>;
};

async function exit(log: Log, code: number): Promise<never> {
	await log.flush(logFlushMs);
	process.exit(code);
}

async function startOrExit(log: Log, start: () => Promise<RunningProgram>): Promise<RunningProgram> {
	try {
		return await start();
	} catch (error) {
		log.error('cannot start', {reason: error instanceof Error ? error.message : String(error)});
		return exit(log, startFailureCode);
	}
}

/**
 * Starts a program and stops it at a signal: the first signal lets requests in
 * progress finish, the second aborts them.
 *
 * @param log - The program's log.
 * @param start - Starts the program; an error that it throws is logged and ends the process.
 */
export async function runUntilStopped(log: Log, start: () => Promise<RunningProgram>): Promise<void> {
	const running = await startOrExit(log, start);
	const {callerPort, peerPort, operatorPort} = running;
	log.info('listening', {callerPort, peerPort, operatorPort});
	let isStopping = false;
	let isAbandoned = false;

	async function stop(signal: NodeJS.Signals): Promise<void> {
		if (isStopping) {
			isAbandoned = true;
			for (const requestId of await running.abandon()) {
				log.error('request abandoned at a second stop signal', {requestId, signal});
			}

			await exit(log, abandonedCode);
			return;
		}

		isStopping = true;
		log.info('stopping', {signal});
		await running.stop();
		if (!isAbandoned) {
			log.info('stopped', {signal});
			await exit(log, 0);
		}
	}

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, name => {
			void stop(name);
		});
	}
}
