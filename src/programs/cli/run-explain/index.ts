/** `banyanport explain`: which rule decides about a request, and why each earlier one does not. */
import {ok} from 'neverthrow';
import {type RequestFacts} from '../../../domain/compile-rules/index.js';
import {explainRules, type PassedOverRule, type RuleExplanation} from '../../../domain/explain-rules/index.js';
import {type Config, type RuleThen} from '../../../ports/config.js';
import {
	type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';
import {reportReadFailure, readConfig} from '../_lib/read-config.js';
import {toFactsText} from '../_lib/to-facts-text.js';

/** Facts of the request that the user gives; the others get default values. */
export type RunExplainOptions = Partial<Omit<RequestFacts, 'headers'>> & {
	headers: Readonly<Record<string, string>>;
	json: boolean;
};

/** Passed-over rules in the text output, the last ones before the deciding one; JSON lists all. */
const maxShownRules = 50;

/**
 * Explains which rule decides about a request.
 *
 * @param io - Input and output.
 * @param file - Path of the document, or `-`.
 * @param options - What is known of the request.
 * @returns 0 when the document is valid, 1 when it has faults.
 */
export async function runExplain(io: CliIo, file: string, options: RunExplainOptions): Promise<CommandResult> {
	const read = await readConfig(io, file);
	if (read.isErr()) {
		return reportReadFailure(io, file, read.error, options.json);
	}

	const {config} = read.value;
	const facts = toFacts(config, options);
	const explanation = explainRules(config.rules, facts);
	const servers = toServers(config, explanation.deciding?.decision);
	io.write(options.json ? toJsonText({facts, ...explanation, servers}) : toText(facts, explanation, servers));
	return ok(exitCodes.fine);
}

function toFacts(config: Config, {workspace, model, path, headers, promptTokens, zone, class: wanted}: RunExplainOptions): RequestFacts {
	return {
		workspace: workspace ?? 'any-workspace',
		model,
		path: path ?? (model === undefined ? '/' : '/v1/completions'),
		headers,
		class: wanted,
		promptTokens: promptTokens ?? 0,
		zone: zone ?? config.zones[0]!.id,
	};
}

function toServers(config: Config, decision: RuleThen | undefined) {
	return config.servers.filter(({pool}) => pool === decision?.pool).map(({id, role, zone}) => ({id, role, zone}));
}

function toText(facts: RequestFacts, {deciding, passedOver}: RuleExplanation, servers: ReturnType<typeof toServers>): string {
	const hidden = passedOver.length - maxShownRules;
	return [
		`request: ${toFactsText(facts)}`,
		...(hidden > 0 ? [`... ${hidden} rules passed over; --json lists all`] : []),
		...passedOver.slice(Math.max(0, hidden)).flatMap(rule => toPassedOverLines(rule)),
		...(deciding ? [`rule ${deciding.index + 1} "${deciding.name}" decides:`, ...toDecisionLines(deciding.decision)] : ['no rule decides']),
		...(deciding ? [`  servers: ${servers.map(({id}) => id).join(', ')}`] : []),
		'',
	].join('\n');
}

function toPassedOverLines({index, name, unmet}: PassedOverRule): readonly string[] {
	return [
		`rule ${index + 1} "${name}" does not match:`,
		...unmet.map(({condition, wanted, got}) => `  ${condition}: wants ${wanted}, got ${got}`),
	];
}

function toDecisionLines(then: RuleThen): readonly string[] {
	const versions = then.versions.map(({version, weight}) => `${version} (weight ${weight})`).join(', ');
	return [
		`  pool: ${then.pool}`,
		`  class: ${then.class}, ${then.repeatable ? 'repeatable' : 'not repeatable: runs at most once and needs an Idempotency-Key'}`,
		`  targets: first token ${then.target.firstTokenMs}ms, per token ${then.target.perTokenMs}ms, complete ${then.target.completeMs}ms`,
		`  queue limit: ${then.queueLimit} requests per host`,
		...(versions === '' ? [] : [`  versions: ${versions}`]),
		...(then.adapter === undefined ? [] : [`  adapter: ${then.adapter}`]),
	];
}
