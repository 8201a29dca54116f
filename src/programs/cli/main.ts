#!/usr/bin/env node
/** `banyanport`, the operators' command line. */
import process from 'node:process';
import {createProcessIo} from './_lib/create-process-io.js';
import {exitCodes} from './_lib/io.js';
import {runCli} from './run-cli/index.js';

// A reader such as `head` may close the pipe early, which is not a failure of the command.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	process.exit(error.code === 'EPIPE' ? exitCodes.fine : exitCodes.unreachable);
});

process.exitCode = await runCli(process.argv.slice(2), createProcessIo());
