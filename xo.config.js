const shortNames = {
	req: true,
	res: true,
	cfg: true,
	err: true,
	env: true,
	args: true,
	params: true,
	props: true,
	ref: true,
	i: true,
	j: true,
	fn: true,
	db: true,
	dir: true,
	doc: true,
	msg: true,
	src: true,
	num: true,
	prev: true,
	dev: true,
	opts: true,
	ctx: true,
	conn: true,
	tmp: true,
	acc: true,
	ext: true,
	docs: true,
	lib: true,
	utils: true,
};

/** @type {import('xo').FlatXoConfig} */
const xoConfig = [
	{ignores: ['dist/**', 'out/**', 'target/**', 'xo.config.js']},
	{
		rules: {
			'unicorn/prevent-abbreviations': ['error', {allowList: shortNames, ignore: [/^kv/i, /Kv/, /args$/i, /params$/i]}],
			// The codec, the engines and the OpenAI-compatible API use snake_case and upper-case wire names.
			'@typescript-eslint/naming-convention': 'off',
			// Rules of the users read when-then: `then` is a key of their documents, and nobody awaits a rule.
			'unicorn/no-thenable': 'off',
			// Wire values use null where JSON does.
			'@typescript-eslint/no-restricted-types': 'off',
			// One task for each connection is written straight down: its steps wait for one another by design.
			'no-await-in-loop': 'off',
			// Errors of this code base are values (neverthrow), and modern-errors declares error classes as constants.
			'unicorn/throw-new-error': 'off',
			'new-cap': 'off',
			// Caps on size belong to reviews; the defaults count doc comments.
			'max-lines': 'off',
			'unicorn/no-null': 'off',
			// Promise chains that are deliberately detached are marked with `void`.
			'no-void': ['error', {allowAsStatement: true}],
			// Programs own the process and its signals.
			'unicorn/no-process-exit': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
		},
	},
	{
		files: ['src/domain/**/*.ts'],
		rules: {
			'no-restricted-imports': ['error', {
				patterns: [
					{group: ['**/adapters/**', '**/programs/**'], message: 'domain/ decides and does no I/O: pass the adapter\'s function as an argument.'},
					{group: ['node:net', 'node:http', 'node:https', 'node:dgram', 'node:fs', 'node:timers', 'node:timers/promises', 'undici', 'hono', 'hono/*', 'winston'], message: 'domain/ must be callable without sockets, files or timers.'},
				],
			}],
			'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'performance', 'fetch'],
			'no-restricted-properties': ['error',
				{object: 'Date', property: 'now', message: 'Take `now` as an argument.'},
				{object: 'Math', property: 'random', message: 'Take a random source as an argument.'}],
		},
	},
	...[['entry', 'agent'], ['agent', 'entry']].map(([program, other]) => ({
		files: [`src/programs/${program}/**/*.ts`],
		rules: {
			'no-restricted-imports': ['error', {
				patterns: [{group: [`**/${other}/**`], message: 'Programs don\'t import one another: put what both need in a folder of src/programs that starts with an underscore.'}],
			}],
		},
	})),
	{
		files: ['**/test.ts', '**/*.test.ts', 'test/**/*.ts'],
		rules: {
			// Cases of a table close over the fixture that the suite sets up once.
			'@typescript-eslint/no-loop-func': 'off',
			// `describe` and `it` of node:test return promises that the runner itself awaits.
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [
				{from: 'package', package: 'node:test', name: ['describe', 'it', 'test', 'suite', 'before', 'after', 'beforeEach', 'afterEach']},
			]}],
		},
	},
];

export default xoConfig;
