/** Modules for mutation testing, worst first, and the tests that must kill their mutants. */

export type MutatedModule = {
	name: string;
	/** Sources that are mutated, as globs. */
	sources: readonly string[];
	/** Test files, from the root of the sources. */
	tests: readonly string[];
};

const toDomainModule = (name: string, otherTests: readonly string[] = []): MutatedModule => ({
	name,
	sources: [`src/domain/${name}/**/*.ts`, `!src/domain/${name}/**/*test.ts`, `!src/domain/${name}/**/_test/**`, `!src/domain/${name}/**/types.ts`],
	tests: [`src/domain/${name}/test.ts`, ...otherTests],
});

/** A module in a file of its own, with its test beside it. */
const toProgramModule = (name: string, folder: string): MutatedModule => ({name, sources: [`${folder}/${name}.ts`], tests: [`${folder}/${name}.test.ts`]});

const followTests = ['test.ts', 'eras.test.ts', 'pace.test.ts', 'model.test.ts'].map(file => `src/programs/entry/follow-published/${file}`);

/** Each module with its own tests, and with those that run it together with the code around it. */
export const mutatedModules: readonly MutatedModule[] = [
	toDomainModule('create-retry-budget'),
	toDomainModule('to-retry-share'),
	{
		name: 'create-pool-budgets',
		sources: ['src/programs/entry/_lib/create-pool-budgets/index.ts'],
		tests: ['src/programs/entry/_lib/create-pool-budgets/test.ts'],
	},
	toDomainModule('create-shared-retries'),
	toProgramModule('decide-retry', 'src/programs/entry/call-plain/_lib'),
	toProgramModule('kept-cache', 'src/programs/entry/call-pair/_lib'),
	toDomainModule('create-quota-keeper'),
	toDomainModule('create-workspace-quotas'),
	{
		name: 'charge-request',
		sources: ['src/programs/entry/charge-request/index.ts'],
		tests: ['src/programs/entry/charge-request/test.ts'],
	},
	toDomainModule('identify-caller'),
	toDomainModule('create-place-keeper'),
	toDomainModule('create-server-places'),
	toDomainModule('create-questions'),
	toProgramModule('pick-with-place', 'src/programs/entry/call-plain/_lib'),
	toDomainModule('create-shared-loads'),
	toDomainModule('create-published-fleet', followTests),
	toDomainModule('create-leaving-overrides'),
	toDomainModule('compare-eras'),
	toDomainModule('create-answer-judge'),
	toDomainModule('create-event-scanner'),
	toDomainModule('find-answer-framing'),
	toDomainModule('create-pool-links'),
	toDomainModule('create-peer-links'),
	toDomainModule('create-stream-binding'),
	toDomainModule('create-stream-origins'),
	toDomainModule('rank-across-zones'),
	{
		name: 'open-stream',
		sources: ['src/programs/entry/open-stream/index.ts'],
		tests: ['src/programs/entry/open-stream/test.ts'],
	},
	{
		name: 'follow-published',
		sources: ['src/programs/entry/follow-published/index.ts'],
		tests: followTests,
	},
	toDomainModule('create-crash-suspects', ['src/programs/relay/share-loads/crashes.test.ts']),
	toDomainModule('create-server-health'),
	toDomainModule('create-peer-list'),
	{
		name: 'share-loads',
		sources: ['src/programs/relay/share-loads/index.ts'],
		tests: ['test.ts', 'crashes.test.ts', 'fleet.test.ts'].map(file => `src/programs/relay/share-loads/${file}`),
	},
	toDomainModule('create-split-estimate'),
	toDomainModule('is-order-allowed'),
	toDomainModule('to-orders'),
	toDomainModule('claim-key', ['src/domain/claim-key/model.test.ts']),
	toDomainModule('create-claim-witness'),
	toDomainModule('create-admission', ['src/domain/create-admission/shared-memory.test.ts']),
	toDomainModule('create-fair-queue'),
	toDomainModule('create-transfer-timeouts'),
];
