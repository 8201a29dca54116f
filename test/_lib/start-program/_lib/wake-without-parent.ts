import {spawn, type ChildProcess} from 'node:child_process';

/** Ends quietly on a line of input, and wakes the process that its argument names on the end of input. */
const script = 'read -r line || kill -CONT "$1"';
const watched = new WeakSet<ChildProcess>();

/**
 * Wakes a paused process when this one is gone.
 *
 * A test file that is killed outright while it has a program paused leaves it
 * behind for good: a program ends by the end of its standard input, and one that
 * is stopped does not see it. A shell that shares nothing with the program but
 * its number sees the end of its own input instead and continues the program,
 * which then ends as any other. Once for each program is enough: continuing a
 * process that runs does nothing.
 *
 * @param child - A program of this process, about to be paused.
 */
export function wakeWithoutParent(child: ChildProcess): void {
	if (child.pid === undefined || child.exitCode !== null || child.signalCode !== null || watched.has(child)) {
		return;
	}

	watched.add(child);
	const watcher = spawn('/bin/sh', ['-c', script, 'wake-without-parent', String(child.pid)], {stdio: ['pipe', 'ignore', 'ignore']});
	watcher.unref();
	(watcher.stdin as unknown as {unref: () => void}).unref();
	watcher.stdin.on('error', () => undefined);
	child.once('exit', () => {
		watcher.stdin.end('ended\n');
	});
}
