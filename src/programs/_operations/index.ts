/** Operations code that the programs share: TLS keys, the operators' port, the burn-rate report. */
export {loadProgramKeys, type KeySettings, type ProgramKeys} from './load-program-keys.js';
export {reportSlo} from './report-slo.js';
export {toSloSample, type SloRequestOutcome} from './to-slo-sample.js';
export {startOperations, type OperationsOptions} from './start-operations.js';
