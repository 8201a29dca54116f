/**
 * Tables of the programs' settings.
 *
 * A program starts with `loadSettings(entrySettings, {program, description,
 * argv, env, otherTables: [agentSettings], check: checkEntrySettings})`: the
 * programs of a host share one environment, so each must know the variables of
 * the others and not take them for misspelt names.
 */
export {agentSettings, checkAgentSettings, type AgentSettings} from './agent.js';
export {checkEntrySettings, entrySettings, type EntrySettings} from './entry.js';
export {commonSettings, logLevels} from './common.js';
export {
	checkRelaySettings, relaySettings, toZones, type RelaySettings,
} from './relay.js';
