/** The operators' command line: options, help and exit codes of all commands. */
import {
	Argument, Command, CommanderError, InvalidArgumentError, Option,
} from 'commander';
import {
	type CliIo, type CommandResult, type ExitCode, exitCodes,
} from '../_lib/io.js';
import {runAccount} from '../run-account/index.js';
import {runCheck} from '../run-check/index.js';
import {runDiff} from '../run-diff/index.js';
import {runExplain} from '../run-explain/index.js';
import {runExplainRequest} from '../run-explain-request/index.js';
import {runSeal} from '../run-seal/index.js';
import {runSettings, type SettingsProgram} from '../run-settings/index.js';
import {runSlo} from '../run-slo/index.js';
import {runSplit} from '../run-split/index.js';
import {runStatus} from '../run-status/index.js';
import {runTimeline} from '../run-timeline/index.js';

const exitCodeHelp = `
Exit codes: 0 fine; 1 faults found; 2 the command line is invalid;
            3 a file or a host could not be read, written or reached.
FILE may be "-" for the standard input. Each command has --help with examples.
`;

const defaultTimeoutSeconds = 5;

/**
 * Runs one command line.
 *
 * @param args - Arguments after the program's name.
 * @param io - Files, hosts and output.
 * @returns The exit code; nothing is thrown for a user's mistake.
 */
export async function runCli(args: readonly string[], io: CliIo): Promise<ExitCode> {
	const commandLine = createCommandLine(io);
	try {
		await commandLine.program.parseAsync([...args], {from: 'user'});
	} catch (error) {
		if (error instanceof CommanderError) {
			return error.exitCode === 0 ? exitCodes.fine : exitCodes.usage;
		}

		throw error;
	}

	return commandLine.end();
}

function createCommandLine(io: CliIo): {program: Command; end: () => ExitCode} {
	let code: ExitCode = exitCodes.fine;
	const finish = (result: CommandResult): void => {
		code = result.match<ExitCode>(value => value, failure => {
			io.writeError(`${failure.message}\n`);
			return exitCodes.unreachable;
		});
	};

	const program = new Command('banyanport')
		.description('Checks, seals and explains rule lists, and shows what hosts are doing.')
		.exitOverride()
		.configureOutput({
			writeOut: io.write, writeErr: io.writeError, outputError(text, write) {
				write(text.replace(/^error: /, 'banyanport: '));
			},
		})
		.showHelpAfterError('Run with --help for the options and examples.')
		.addHelpText('after', exitCodeHelp);
	addDocumentCommands(program, io, finish);
	addExplain(program, io, finish);
	addHostCommands(program, io, finish);
	addLogCommands(program, io, finish);
	addSettings(program, io, finish);
	return {program, end: () => code};
}

type Finish = (result: CommandResult) => void;

const jsonHelp = 'write JSON for programs';
const documentHelp = 'configuration document, YAML or JSON; for one in parts its folder or its root';

function addDocumentCommands(program: Command, io: CliIo, finish: Finish): void {
	program.command('check')
		.description('Report everything that is wrong with a document, with line, column and remedy.')
		.argument('<file>', documentHelp)
		.option('--json', jsonHelp, false)
		.addHelpText('after', toExamples('banyanport check rules.yaml', 'banyanport check rules.yaml --json', 'banyanport check rules/'))
		.action(async (file: string, options: {json: boolean}) => {
			finish(await runCheck(io, file, options));
		});

	program.command('seal')
		.description('Write the complete document with its edition, the digest of the one it follows, and its own digest.')
		.argument('<file>', 'document to seal, or the folder or root of one in parts; an earlier seal in it is replaced')
		.option('--follows <old>', 'the document in force, or its folder or root, which this one follows')
		.option('--output <out>', 'file to write (default: the standard output); for a document in parts a folder, which must be named')
		.addOption(new Option('--to <format>', 'write JSON regardless of the input; hosts read large documents faster as JSON').choices(['json']))
		.option('--json', 'write the result as a JSON object', false)
		.addHelpText('after', toExamples(
			'banyanport seal rules.yaml --output first.yaml',
			'banyanport seal rules.yaml --follows in-force.yaml --output next.yaml',
			'banyanport seal rules/ --follows in-force/ --output next/',
		))
		.action(async (file: string, options: {follows?: string; output?: string; to?: 'json'; json: boolean}) => {
			const {follows, output, to, json} = options;
			finish(await runSeal(io, file, {
				follows, output, to, json,
			}));
		});

	program.command('split')
		.description('Split a document in one file into a folder with a root and parts, to be edited and sealed there.')
		.argument('<file>', 'configuration document, YAML or JSON')
		.requiredOption('--output <folder>', 'folder to write')
		.option('--entries <count>', 'rules, servers or hosts in a part', parseCount, 100)
		.option('--json', jsonHelp, false)
		.addHelpText('after', toExamples('banyanport split rules.yaml --output rules/', 'banyanport split rules.json --entries 50 --output rules/'))
		.action(async (file: string, options: {output: string; entries: number; json: boolean}) => {
			finish(await runSplit(io, file, {...options, entries: Math.max(1, options.entries)}));
		});

	program.command('diff')
		.description('Show which requests are decided differently, on samples made from both rule lists.')
		.argument('<old>', 'document in force, or its folder or root')
		.argument('<new>', 'document that follows it, or its folder or root')
		.option('--samples <count>', 'mixtures of values to try in addition to one request per rule', parseCount, 5000)
		.option('--json', jsonHelp, false)
		.addHelpText('after', toExamples('banyanport diff in-force.yaml rules.yaml', 'banyanport diff in-force.yaml rules.yaml --samples 50000 --json'))
		.action(async (before: string, after: string, options: {samples: number; json: boolean}) => {
			finish(await runDiff(io, [before, after], {mixtures: options.samples, json: options.json}));
		});
}

type ExplainFlags = {
	workspace?: string;
	model?: string;
	path?: string;
	class?: 'quick' | 'batch';
	promptTokens?: number;
	zone?: string;
	header: Readonly<Record<string, string>>;
	json: boolean;
};

function addExplain(program: Command, io: CliIo, finish: Finish): void {
	program.command('explain')
		.description('Say which rule decides about a request, and why each earlier one does not.')
		.argument('<file>', documentHelp)
		.option('--workspace <name>', 'workspace of the caller (default: one that no rule names)')
		.option('--model <name>', 'model that the request names')
		.option('--path <path>', 'path of the request (default: /v1/completions with a model, / without)')
		.addOption(new Option('--class <class>', 'class that the caller asks for').choices(['quick', 'batch']))
		.option('--prompt-tokens <count>', 'length of the prompt (default: 0)', parseCount)
		.option('--zone <zone>', 'zone of the host that decides (default: the first of the document)')
		.option('--header <name=value>', 'header of the request; may be given several times', addHeader, {})
		.option('--json', jsonHelp, false)
		.addHelpText('after', toExamples(
			'banyanport explain rules.yaml --workspace kavarna-lipa --model letter-summary --prompt-tokens 900',
			'banyanport explain rules.yaml --path /desk/mailboxes/17 --header x-genre=fantasy',
		))
		.action(async (file: string, {header, ...facts}: ExplainFlags) => {
			finish(await runExplain(io, file, {...facts, headers: header}));
		});
}

type HostFlags = {ca?: string; timeout: number; json: boolean};

function addHostOptions(command: Command): Command {
	return command
		.argument('<host...>', 'operators\' ports, as IP:port or https://IP:port')
		.option('--ca <file>', 'certificates of the authorities that sign the operators\' ports, PEM')
		.option('--timeout <seconds>', 'longest wait for each host', parseCount, defaultTimeoutSeconds)
		.option('--json', jsonHelp, false);
}

function addHostCommands(program: Command, io: CliIo, finish: Finish): void {
	const add = (name: string, description: string) => addHostOptions(program.command(name)
		.description(`${description} The token in BANYANPORT_OPERATOR_TOKEN is sent along.`));

	add('status', 'Show the status documents of hosts.')
		.addHelpText('after', toExamples('banyanport status 192.0.2.5:7404 192.0.2.5:7403'))
		.action(async (hosts: readonly string[], options: HostFlags) => {
			finish(await runStatus(io, hosts, toHostOptions(options)));
		});

	const account = program.command('account')
		.description('Show what became of one request: rule, servers passed over and chosen, timings. The token in BANYANPORT_OPERATOR_TOKEN is sent along.')
		.argument('<request-id>', 'x-request-id of the answer');
	addHostOptions(account)
		.addHelpText('after', toExamples('banyanport account 0193a5c0-5d4f-7cc3-98c4-dc0c0c07398f 192.0.2.5:7404 192.0.2.105:7404'))
		.action(async (requestId: string, hosts: readonly string[], options: HostFlags) => {
			finish(await runAccount(io, requestId, hosts, toHostOptions(options)));
		});

	add('slo', 'Report how fast the error budgets of both targets are being spent, over all given hosts.')
		.option('--html <file>', 'also write a page with plots')
		.addHelpText('after', toExamples('banyanport slo 192.0.2.5:7404 192.0.2.105:7404', 'banyanport slo 192.0.2.5:7404 --html burn.html'))
		.action(async (hosts: readonly string[], options: HostFlags & {html?: string}) => {
			finish(await runSlo(io, hosts, {...toHostOptions(options), html: options.html}));
		});
}

function addLogCommands(program: Command, io: CliIo, finish: Finish): void {
	const logHelp = 'log files of one or several hosts';
	program.command('explain-request')
		.description('Show what became of one request, from the log lines of all hosts.')
		.argument('<file...>', logHelp)
		.requiredOption('--id <request-id>', 'request id that the caller sent or received')
		.option('--json', jsonHelp, false)
		.addHelpText('after', toExamples('banyanport explain-request front-a-1.log front-b-1.log --id 9c41d07be2a35f68'))
		.action(async (files: readonly string[], options: {id: string; json: boolean}) => {
			finish(await runExplainRequest(io, files, options));
		});

	program.command('timeline')
		.description('Show when hosts noticed changes, from their log lines: one row per change, with the first and the last host to notice it.')
		.argument('<file...>', logHelp)
		.option('--json', jsonHelp, false)
		.addHelpText('after', toExamples('banyanport timeline front-a-1.log front-b-1.log'))
		.action(async (files: readonly string[], options: {json: boolean}) => {
			finish(await runTimeline(io, files, options));
		});
}

function toHostOptions({ca, timeout, json}: HostFlags) {
	return {caFile: ca, timeoutMs: timeout * 1000, json};
}

function addSettings(program: Command, io: CliIo, finish: Finish): void {
	program.command('settings')
		.description('List every setting of a program with default, unit, value and source.')
		.addArgument(new Argument('<program>', 'which program').choices(['entry', 'agent', 'relay']))
		.argument('[flags...]', 'flags of the program after "--", which are then checked too')
		.option('--json', jsonHelp, false)
		.addHelpText('after', toExamples('banyanport settings entry', 'banyanport settings agent -- --host-id zone-a-1 --zone zone-a'))
		.action(async (name: SettingsProgram, flags: readonly string[], options: {json: boolean}) => {
			finish(await runSettings(io, name, {flags, json: options.json}));
		});
}

function toExamples(...lines: readonly string[]): string {
	return `\nExamples:\n${lines.map(line => `  ${line}`).join('\n')}\n`;
}

function parseCount(text: string): number {
	if (!/^\d{1,9}$/.test(text)) {
		throw new InvalidArgumentError('Write a whole number, for example 900.');
	}

	return Number(text);
}

function addHeader(text: string, headers: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
	const match = /^([^=\s]+)=(.*)$/.exec(text);
	if (!match) {
		throw new InvalidArgumentError('Write it as name=value, for example x-genre=fantasy.');
	}

	return {...headers, [match[1]!.toLowerCase()]: match[2]!};
}
