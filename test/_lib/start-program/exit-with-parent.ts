/**
 * Loaded by `node --import` into each program that a test starts. A test file
 * that is killed with SIGKILL cannot stop its programs. The operating system
 * then closes the pipe to their standard input, and each program exits on that.
 */
import process from 'node:process';

process.stdin.once('close', () => {
	process.exit(1);
});
process.stdin.resume();
// Without `unref` the open pipe would keep a program alive that has no other work.
(process.stdin as unknown as {unref: () => void}).unref();
