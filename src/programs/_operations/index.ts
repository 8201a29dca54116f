/** What entry and agent do alike for their operators: keys, the operators' port, the burn report. */
export {loadProgramKeys, type KeySettings, type ProgramKeys} from './load-program-keys.js';
export {reportSlo} from './report-slo.js';
export {toSloSample, type SloRequestOutcome} from './to-slo-sample.js';
export {startOperations, type OperationsOptions} from './start-operations.js';
