/**
 * Stand-in for a model engine: batches continuously, keeps prefill results for
 * a short time, shares its link between transfers, reports its load with a delay,
 * and counts for the judge what it ran and what it holds. Many engines can run in
 * one process.
 */
import {startHttpServer} from '../_lib/http-server.js';
import {createEngine} from './_lib/create-engine.js';
import {replaceFaults} from './_lib/take-fault.js';
import {routeCall} from './_lib/route.js';
import {toSettings} from './_lib/to-settings.js';
import {
	type EngineFaults, type EngineStandInOptions, type JudgedRequest, type JudgeReport,
} from './_lib/types.js';

export {expectedAnswer, countPromptTokens, toBlocks} from './_lib/answer.js';
export type {
	EngineFaults, EngineNetwork, EngineStandInOptions, JudgedRequest, JudgeReport, WasteCause,
} from './_lib/types.js';

export type EngineStandIn = {
	id: string;
	port: number;
	url: string;
	/** Fault switches; its fields may be changed at any time. See also {@link EngineStandIn.setFaults}. */
	faults: EngineFaults;
	/** Replaces all fault switches. */
	setFaults: (faults: EngineFaults) => void;
	setState: (state: 'serving' | 'loading' | 'leaving') => void;
	/** Returns all counts of the judge. */
	judge: () => JudgeReport;
	/** Returns the counts of one request; all zero for an unknown one. */
	judgeRequest: (requestId: string) => JudgedRequest;
	resetJudge: () => void;
	/** Crashes the engine: every connection and the port close, and all state is lost. The counts of the judge stay. */
	crash: () => Promise<void>;
	/** Restarts the engine after a crash, on the same port and with only its initial model. */
	revive: () => Promise<void>;
	/** Stops the engine for good. */
	stop: () => Promise<void>;
};

/** Starts an engine on loopback. */
export const startEngineStandIn = async (options: EngineStandInOptions): Promise<EngineStandIn> => {
	const settings = toSettings(options);
	const faults: EngineFaults = {};
	const engine = createEngine(settings, faults);
	const listen = async (port: number) => startHttpServer(async (req, res, url) => routeCall({
		engine, faults, req, res, url,
	}), port, settings.bind);
	let server = await listen(settings.port);
	let isUp = true;
	const {port, url} = server;

	const crash = async (): Promise<void> => {
		if (isUp) {
			isUp = false;
			engine.clear();
			await server.stop();
		}
	};

	return {
		id: settings.id,
		port,
		url,
		faults,
		setFaults(next) {
			replaceFaults(faults, next);
		},
		setState: engine.setState,
		judge: engine.judgeReport,
		judgeRequest: engine.judge.request,
		resetJudge: engine.judge.reset,
		crash,
		async revive() {
			if (!isUp) {
				server = await listen(port);
				isUp = true;
			}
		},
		async stop() {
			await crash();
			await engine.stop();
		},
	};
};
