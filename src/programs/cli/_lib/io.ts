/** What commands need from outside, and how they end. */
import {type Result, type ResultAsync} from 'neverthrow';

/**
 * Exit codes of all commands.
 *
 * - 0: done, and nothing wrong was found.
 * - 1: faults were found in what was given.
 * - 2: the command itself was written wrongly.
 * - 3: a file or a host could not be read or reached.
 */
export type ExitCode = 0 | 1 | 2 | 3;

export const exitCodes = {
	fine: 0, faults: 1, usage: 2, unreachable: 3,
} as const satisfies Record<string, ExitCode>;

/** Why something could not be read, reached or written; the message names it and the remedy. */
export type AccessFailure = {
	message: string;
	/** HTTP status of a host that did answer, with something else than 200. */
	status?: number;
};

export type CliIo = {
	write: (text: string) => void;
	writeError: (text: string) => void;
	/** Reads a file, or the standard input for `-`. */
	readText: (path: string) => ResultAsync<string, AccessFailure>;
	writeText: (path: string, text: string) => ResultAsync<void, AccessFailure>;
	/** Makes a folder unless it is there. */
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
	/** Milliseconds. */
	timeoutMs: number;
};

/** How a command ends: its exit code, or a failure that the caller reports. */
export type CommandResult = Result<ExitCode, AccessFailure>;

/** Writes JSON for programs, indented for people. */
export function toJsonText(value: unknown): string {
	return `${JSON.stringify(value, undefined, 2)}\n`;
}
