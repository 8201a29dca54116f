/** Input, output and results of commands. */
import {type Result, type ResultAsync} from 'neverthrow';

/**
 * Exit codes of all commands.
 *
 * - 0: done, and nothing wrong was found.
 * - 1: faults were found in what was given.
 * - 2: the command line was invalid.
 * - 3: a file or a host could not be read or reached.
 */
export type ExitCode = 0 | 1 | 2 | 3;

export const exitCodes = {
	fine: 0, faults: 1, usage: 2, unreachable: 3,
} as const satisfies Record<string, ExitCode>;

/** Why something could not be read, reached or written; the message names it and the remedy. */
export type AccessFailure = {
	message: string;
	/** HTTP status of a host that did answer, with a status other than 200. */
	status?: number;
};

export type CliIo = {
	write: (text: string) => void;
	writeError: (text: string) => void;
	/** Reads a file, or the standard input for `-`. */
	readText: (path: string) => ResultAsync<string, AccessFailure>;
	writeText: (path: string, text: string) => ResultAsync<void, AccessFailure>;
	/** Creates a folder unless it exists. */
	makeFolder: (path: string) => ResultAsync<void, AccessFailure>;
	/** Gets a JSON document from an operators' port. */
	fetchJson: (host: string, path: string, options: FetchOptions) => ResultAsync<unknown, AccessFailure>;
	env: Readonly<Record<string, string | undefined>>;
	random: () => number;
	wallNow: () => number;
};

export type FetchOptions = {
	/** File with certificates of the authorities that sign operators' ports, PEM. */
	caFile: string | undefined;
	/** Time limit of each request. */
	timeoutMs: number;
};

/** How a command ends: its exit code, or a failure that the caller reports. */
export type CommandResult = Result<ExitCode, AccessFailure>;

/** Formats a value as indented JSON that ends with a line break. */
export function toJsonText(value: unknown): string {
	return `${JSON.stringify(value, undefined, 2)}\n`;
}
