/**
 * Starts one of the built programs as a separate process, for tests that kill,
 * pause and restart it. No process outlives the test file: the file kills them
 * all when it exits or receives a signal, and they exit by themselves when the
 * file is killed with SIGKILL.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {loadavg} from 'node:os';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {isRecord} from '../../../src/_lib/is-record/index.js';
import {waitUntil} from '../wait-until/index.js';

export type ProgramName = 'entry' | 'agent' | 'cli' | 'engine' | 'platform' | 'plain' | 'relay';

export type ProgramOptions = {
	program: ProgramName;
	/** Flags by name, in camel or kebab case. `undefined`, `false` or an empty list omits the flag, `true` passes it without a value, and a list is joined with commas. */
	flags?: Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>;
	env?: Readonly<Record<string, string>>;
	/** Options of Node itself, for example `--max-old-space-size=24`. */
	nodeOptions?: readonly string[];
	/** Folder of the build to run, with a closing slash; this build by default. */
	build?: URL;
	/** Timeout for the `listening` log line, milliseconds. */
	startDeadlineMs?: number;
	/** Name used in error messages; the name of the program by default. */
	label?: string;
};

export type ProgramExit = {
	code: number | null;
	signal: NodeJS.Signals | null;
};

export type LogLine = Record<string, unknown>;

export type Program = {
	pid: number;
	label: string;
	/** Fields of the `listening` log line. */
	listening: LogLine;
	/** Returns a port from the `listening` line, for example `callerPort`. */
	port: (name: string) => number;
	/** Returns the parsed log lines so far. */
	logs: () => readonly LogLine[];
	waitForLog: (isMeant: (line: LogLine) => boolean, options: {deadlineMs: number; what: string}) => Promise<LogLine>;
	/** Returns the last lines of output that are not log lines. */
	otherOutput: () => string;
	kill: (signal?: NodeJS.Signals) => Promise<ProgramExit>;
	/** Suspends the process with SIGSTOP, as a paused machine would. */
	pause: () => void;
	resume: () => void;
	isRunning: () => boolean;
	/** Sends a signal without waiting. */
	signal: (signal: NodeJS.Signals) => void;
	/** Waits until the process exits, for whatever reason. */
	waitForExit: (deadlineMs: number) => Promise<ProgramExit>;
	/** Sends SIGTERM. Rejects if the process does not exit before the deadline. */
	stop: (deadlineMs?: number) => Promise<ProgramExit>;
};

const root = new URL('../../../', import.meta.url);
const exitWithParent = new URL('exit-with-parent.js', import.meta.url).href;
const maxLines = 50_000;
const maxOtherLines = 200;
/** Unit of the processor times in `/proc`. */
const clockTicksPerSecond = 100;
const running = new Set<ChildProcess>();

const paths: Record<ProgramName, string> = {
	entry: 'src/programs/entry/main.js',
	agent: 'src/programs/agent/main.js',
	cli: 'src/programs/cli/main.js',
	engine: 'test/stand-ins/engine/main.js',
	platform: 'test/stand-ins/platform/main.js',
	plain: 'test/stand-ins/plain/main.js',
	relay: 'test/stand-ins/users-platform/relay.js',
};

function killAll(): void {
	for (const child of running) {
		child.kill('SIGKILL');
	}
}

process.once('exit', killAll);
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
	process.once(signal, () => {
		killAll();
		process.exit(1);
	});
}

function toFlag(name: string): string {
	return `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** Converts named flags to command-line arguments. */
export function toArguments(flags: NonNullable<ProgramOptions['flags']>): string[] {
	return Object.entries(flags).flatMap(([name, value]) => {
		if (value === undefined || value === false || (Array.isArray(value) && value.length === 0)) {
			return [];
		}

		if (value === true) {
			return [toFlag(name)];
		}

		return [toFlag(name), Array.isArray(value) ? value.join(',') : String(value)];
	});
}

function parseLog(text: string): LogLine | undefined {
	try {
		const value: unknown = JSON.parse(text);
		return isRecord(value) ? value : undefined;
	} catch {
		return undefined;
	}
}

/** Collects the log lines and the other output of a process. */
function collectOutput(child: ChildProcess) {
	const lines: LogLine[] = [];
	const other: string[] = [];
	for (const stream of [child.stdout, child.stderr]) {
		if (stream !== null) {
			createInterface({input: stream}).on('line', text => {
				const line = parseLog(text);
				if (line === undefined) {
					other.push(text);
					other.splice(0, Math.max(0, other.length - maxOtherLines));
				} else {
					lines.push(line);
					lines.splice(0, Math.max(0, lines.length - maxLines));
				}
			});
			// Without `unref` a process that a test did not stop would keep the test file running.
			(stream as unknown as {unref: () => void}).unref();
		}
	}

	return {lines, other};
}

function spawnProgram({program, flags = {}, env = {}, nodeOptions = [], build = root}: ProgramOptions): ChildProcess {
	const child = spawn(process.execPath, [
		'--enable-source-maps', '--import', exitWithParent, ...nodeOptions, fileURLToPath(new URL(paths[program], build)), ...toArguments(flags),
	], {env: {...process.env, NODE_TEST_CONTEXT: undefined, ...env}, stdio: ['pipe', 'pipe', 'pipe']});
	child.unref();
	(child.stdin as unknown as {unref: () => void}).unref();
	running.add(child);
	return child;
}

/** Describes the state of a process and the load of the machine, which tell a process that hangs from one that gets no processor time. */
function describeUsage(pid: number | undefined): string {
	const load = `load average ${loadavg()[0]!.toFixed(1)}`;
	try {
		const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
		const seconds = (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
		return `process ${pid} is in state ${fields[0]} after ${seconds.toFixed(1)} s of processor time, ${load}`;
	} catch {
		return `process ${pid} has ended, ${load}`;
	}
}

/**
 * Starts a program and waits for its `listening` log line.
 *
 * @param options - The program, its flags, and the deadline.
 * @throws If the program exits or the deadline passes before that line. The message has the process's state and the end of its output.
 */
export async function startProgram(options: ProgramOptions): Promise<Program> {
	const {startDeadlineMs = 20_000, label = options.program} = options;
	const child = spawnProgram(options);
	const {lines, other} = collectOutput(child);
	let exit: ProgramExit | undefined;
	let startError: Error | undefined;
	child.once('error', error => {
		startError = error;
	});
	child.once('exit', (code, signal) => {
		running.delete(child);
		exit = {code, signal};
	});

	const describeOutput = (): string => [...lines.slice(-5).map(line => JSON.stringify(line)), ...other.slice(-20)].join('\n');

	const waitForExit = async (deadlineMs: number): Promise<ProgramExit> => waitUntil(() => exit, {deadlineMs, what: `${label} to exit`, everyMs: 5});

	const waitForLog: Program['waitForLog'] = async (isMeant, wait) => {
		let seen = 0;
		return waitUntil(() => {
			// When old lines are dropped, `seen` can exceed the length; then all kept lines are checked again.
			const fresh = lines.slice(seen > lines.length ? 0 : seen);
			seen = lines.length;
			const found = fresh.find(line => isMeant(line));
			if (found === undefined && (exit !== undefined || startError !== undefined)) {
				throw new Error(`${label} exited (${JSON.stringify(exit)}) while the test waited for ${wait.what}; its last output:\n${startError?.message ?? describeOutput()}`);
			}

			return found;
		}, wait);
	};

	const kill = async (signal: NodeJS.Signals = 'SIGKILL'): Promise<ProgramExit> => {
		child.kill(signal);
		return waitForExit(10_000);
	};

	let listening: LogLine;
	try {
		listening = await waitForLog(line => line.message === 'listening', {deadlineMs: startDeadlineMs, what: `the "listening" log line of ${label}`});
	} catch (error) {
		const usage = describeUsage(child.pid);
		child.kill('SIGKILL');
		throw new Error(`${(error as Error).message}; ${usage}; its last output:\n${describeOutput()}`, {cause: error});
	}

	return {
		pid: child.pid ?? 0,
		label,
		listening,
		port(name) {
			const port = listening[name];
			if (typeof port !== 'number') {
				throw new TypeError(`the "listening" log line of ${label} has no port ${name}: ${JSON.stringify(listening)}`);
			}

			return port;
		},
		logs: () => lines,
		waitForLog,
		otherOutput: () => other.join('\n'),
		kill,
		pause() {
			child.kill('SIGSTOP');
		},
		resume() {
			child.kill('SIGCONT');
		},
		isRunning: () => exit === undefined,
		signal(signal) {
			child.kill(signal);
		},
		waitForExit,
		async stop(deadlineMs = 15_000) {
			if (exit !== undefined) {
				return exit;
			}

			child.kill('SIGCONT');
			child.kill('SIGTERM');
			try {
				return await waitForExit(deadlineMs);
			} catch {
				await kill();
				throw new Error(`${label} did not exit within ${deadlineMs} ms of SIGTERM; its last output:\n${describeOutput()}`);
			}
		},
	};
}
