/** The life of a program that serves callers, from its start to its planned stop. */
import process from 'node:process';
import {type Log} from '../../adapters/log/index.js';

const logFlushMs = 1000;
/** Exit codes: wrong settings end with 2 as well. */
const startFailureCode = 2;
const abandonedCode = 1;

/** What runs: an entry, however it learns of the fleet. */
export type RunningProgram = {
	callerPort: number;
	peerPort: number;
	operatorPort: number;
	/** Finishes everything in progress, then closes. */
	stop: () => Promise<void>;
	/** Ends everything in progress and waits a moment for the cancels; returns the ids of what is abandoned. */
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
 * Starts a program and stops it at a signal: the first lets requests end, the
 * second ends them.
 *
 * @param log - The program's log.
 * @param start - Starts it; what it throws is logged and ends the process.
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
				log.error('abandoned', {requestId, signal});
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
