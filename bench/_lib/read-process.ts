/** Reads resource usage of a process from `/proc` (Linux only). */
import {readFileSync} from 'node:fs';

/** Unit of the times in `/proc`; the same on every supported Linux. */
const ticksPerSecond = 100;
const kibibytesPerMebibyte = 1024;

/**
 * Reads the processor time that a process has used.
 *
 * @param pid - Process ID.
 * @returns User and system time, seconds.
 */
export function readCpuSeconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

/**
 * Reads one memory figure of a process.
 *
 * @param pid - Process ID.
 * @param name - Name of the line, for example `VmRSS`.
 * @param file - File of `/proc/<pid>` that contains the line.
 * @returns Mebibytes.
 */
export function readMemoryMb(pid: number, name: string, file = 'status'): number {
	const kilobytes = new RegExp(String.raw`\b${name}:\s+(\d+)`, 'v').exec(readFileSync(`/proc/${pid}/${file}`, 'utf8'))?.[1];
	return Number(kilobytes) / kibibytesPerMebibyte;
}
