/**
 * Stand-in for a model engine: batches continuously, keeps prefill results for
 * a short while, shares its link, reports load late, and counts for the judge
 * what it ran and what it holds. Many can run in one process.
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
	/** Switches; change its fields at any time, or see {@link EngineStandIn.setFaults}. */
	faults: EngineFaults;
	/** Replaces all switches. */
	setFaults: (faults: EngineFaults) => void;
	setState: (state: 'serving' | 'loading' | 'leaving') => void;
	/** All that the judge knows. */
	judge: () => JudgeReport;
	/** What is known of one request; zeroes if nothing. */
	judgeRequest: (requestId: string) => JudgedRequest;
	resetJudge: () => void;
	/** Dies at once: every connection closes and all memory is gone. */
	stop: () => Promise<void>;
};

/** Starts an engine on loopback. */
export const startEngineStandIn = async (options: EngineStandInOptions): Promise<EngineStandIn> => {
	const settings = toSettings(options);
	const faults: EngineFaults = {};
	const engine = createEngine(settings, faults);
	const server = await startHttpServer(async (req, res, url) => routeCall({
		engine, faults, req, res, url,
	}), settings.port, settings.bind);
	return {
		id: settings.id,
		port: server.port,
		url: server.url,
		faults,
		setFaults(next) {
			replaceFaults(faults, next);
		},
		setState: engine.setState,
		judge: engine.judgeReport,
		judgeRequest: engine.judge.request,
		resetJudge: engine.judge.reset,
		async stop() {
			await engine.stop();
			await server.stop();
		},
	};
};
