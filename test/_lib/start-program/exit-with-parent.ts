/**
 * Loaded into each program that a test starts (`node --import`). A test file
 * that is killed outright cannot end its programs; its end of their standard
 * input closes with it, and they end by that.
 */
import process from 'node:process';

process.stdin.once('close', () => {
	process.exit(1);
});
process.stdin.resume();
// Watching must not keep a program alive that has nothing else to do.
(process.stdin as unknown as {unref: () => void}).unref();
