/** Matches requests to rules and pools. */
import {err, ok, type Result} from 'neverthrow';
import {pickWeighted} from '../../../_lib/pick-weighted/index.js';
import {compileRules, type CompiledRules} from '../../../domain/compile-rules/index.js';
import {
	anonymousWorkspace, type CallerFault, identifyCaller, type IdentifiedCaller,
} from '../../../domain/identify-caller/index.js';
import {matchRule} from '../../../domain/match-rule/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {
	type Config, type PoolEntry, type Rule, type WorkspaceLimit,
} from '../../../ports/config.js';
import {type ZoneId} from '../../../ports/ids.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {type Random} from '../../../ports/clock.js';
import {type FleetView} from '../../../ports/view.js';
import {createRuleClasses} from './create-rule-classes.js';
import {noConfiguration, toBehindProblem} from './problems.js';

export type RouteInput = {
	headers: Readonly<Record<string, string>>;
	path: string;
	model: string | undefined;
	promptTokens: number;
	/** Value of the `Host` header. */
	host?: string | undefined;
	/** Picks the pool if the rule splits its traffic among several. */
	random: Random;
};

export type Route = IdentifiedCaller & {
	/** The matching rule, with the workspace's class if it has one. */
	rule: Rule;
	pool: PoolEntry;
	edition: number;
	/** Limit of the workspace; absent where it may use any amount. */
	limit?: WorkspaceLimit | undefined;
};

export type Router = (input: RouteInput, view: FleetView | undefined) => Result<Route, Problem>;

const serviceClasses: readonly string[] = ['quick', 'batch'] satisfies ServiceClass[];

function toClass(headers: RouteInput['headers']): Result<ServiceClass | undefined, Problem> {
	const asked = headers['x-service-class'];
	return asked === undefined || serviceClasses.includes(asked)
		? ok(asked as ServiceClass | undefined)
		: err({kind: 'bad-request', detail: 'x-service-class must be "quick" or "batch".', outcome: 'not-run'});
}

export type RouterOptions = {
	/** Whether a newer configuration may be in force that this host does not have yet. */
	isBehind?: () => boolean;
};

/** A host without a newer key or rule must not deny what another host allows. Callers take a denial as final. */
const toDenied = (problem: Problem, isBehind: boolean): Problem => isBehind ? toBehindProblem(problem.detail) : problem;

const noRule: Problem = {kind: 'no-rule', detail: 'No rule matches this request. Ask the operators to add one.', outcome: 'not-run'};

const toUnauthorized = ({detail}: CallerFault): Problem => ({kind: 'unauthorized', detail, outcome: 'not-run'});

/**
 * Creates the router of one host. Rules are compiled once for each accepted
 * configuration, at the first request after it came into force.
 *
 * @param zone - Zone of the host, which rules may match.
 * @param options - Whether the host may lack a newer configuration; by default it does not.
 * @returns A function that finds the workspace, the matching rule and its pool.
 */
export function createRouter(zone: ZoneId, {isBehind = () => false}: RouterOptions = {}): Router {
	const ruleClasses = createRuleClasses();
	let compiled: CompiledRules | undefined;
	let compiledFrom: Config | undefined;

	function toCompiled(config: Config): CompiledRules {
		if (compiled === undefined || compiledFrom !== config) {
			compiled = compileRules(config, compiled);
			compiledFrom = config;
		}

		return compiled;
	}

	return (input, view) => {
		const accepted = view?.accepted;
		if (accepted === undefined) {
			return err(noConfiguration);
		}

		const {config, version} = accepted;
		const identified = identifyCaller(input.headers, config);
		const isUnknownKey = identified.isErr() && identified.error.kind === 'unknown-key';
		// Public rules serve requests without a known key.
		const caller = identified.unwrapOr({workspace: anonymousWorkspace, isAuthenticated: false});
		const {workspace} = caller;
		const terms = config.workspaces?.[workspace];
		return toClass(input.headers).andThen(serviceClass => {
			const rule = matchRule(toCompiled(config), {
				...input, workspace, class: serviceClass, zone,
			});
			if (identified.isErr() && rule?.then.isPublic !== true) {
				// A newer configuration may know the key, or have a public rule for the path.
				const mayBeAllowed = isUnknownKey || rule === undefined;
				return err<Route, Problem>(toDenied(toUnauthorized(identified.error), mayBeAllowed && isBehind()));
			}

			const pickedTarget = pickWeighted(rule?.then.relay?.split ?? [], input.random);
			const pool = config.pools.find(entry => entry.name === (pickedTarget?.pool ?? rule?.then.pool));
			return rule === undefined || pool === undefined
				? err<Route, Problem>(toDenied(noRule, isBehind()))
				: ok({
					...caller, rule: ruleClasses.toRule(rule, terms?.class), pool, edition: version.edition, limit: terms?.limit,
				});
		});
	};
}

/**
 * Finds the model to run. A rule that lists the requested name may map it to the
 * model of its pool. Any other mismatch is refused, as the caller would get the
 * answer of a model that was not requested.
 *
 * @param asked - Model named in the request.
 * @param route - The matching rule and its pool.
 * @returns The pool's model, or a problem.
 */
export function toServedModel(asked: string, route: Route): Result<string, Problem> {
	const {pool, rule} = route;
	const served = pool.kind === 'model' ? pool.model : undefined;
	if (served !== undefined && (served === asked || rule.when.model?.includes(asked))) {
		return ok(served);
	}

	return err({kind: 'unknown-model', detail: `Rule "${rule.name}" matches this request, but its pool does not serve the model. GET /v1/models lists the models.`, outcome: 'not-run'});
}

/**
 * @param header - Value of the `Host` header.
 * @returns The host's name in lower case and without its port, the form that rules use.
 */
export function toHostName(header: string | undefined): string | undefined {
	return header?.toLowerCase().replace(/:\d+$/v, '');
}
