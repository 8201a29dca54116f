import {type EngineSettings, type EngineStandInOptions} from './types.js';

const defaults = {
	model: 'post-summary',
	version: 'v1',
	adapters: [],
	port: 0,
	bind: '127.0.0.1',
	slots: 20,
	prefillConcurrency: 1,
	prefillTokensPerSecond: 4000,
	prefillBaseMs: 5,
	decodeTokensPerSecond: 50,
	batchSlowdown: 0,
	kvTtlMs: 800,
	linkBytesPerSecond: 2e9,
	bytesPerPromptToken: 131_072,
	loadLagMs: 500,
	cacheBlocks: 512,
	cacheEventLagMs: 1000,
	cacheEventGap: 20,
	loadVersionMs: 5000,
	checksFence: true,
	keepAnswerMs: 10_000,
	stepMs: 10,
	timeScale: 1,
};

/** Fills in defaults, divides the durations by the time scale and multiplies the rates by it. */
export const toSettings = (options: EngineStandInOptions): EngineSettings => {
	const settings: EngineSettings = {...defaults, ...options};
	const scale = settings.timeScale;
	return {
		...settings,
		prefillTokensPerSecond: settings.prefillTokensPerSecond * scale,
		prefillBaseMs: settings.prefillBaseMs / scale,
		decodeTokensPerSecond: settings.decodeTokensPerSecond * scale,
		kvTtlMs: settings.kvTtlMs / scale,
		linkBytesPerSecond: settings.linkBytesPerSecond * scale,
		loadLagMs: settings.loadLagMs / scale,
		cacheEventLagMs: settings.cacheEventLagMs / scale,
		loadVersionMs: settings.loadVersionMs / scale,
		keepAnswerMs: settings.keepAnswerMs / scale,
	};
};
