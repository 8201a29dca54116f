/** What the system knows of a process; Linux alone. */
import {readFileSync} from 'node:fs';

/** Of `/proc`, and the same on every Linux that we run on. */
const ticksPerSecond = 100;
const kibibytesPerMebibyte = 1024;

/**
 * Reads the processor time that a process has used.
 *
 * @param pid - The process.
 * @returns User and system time, seconds.
 */
export function readCpuSeconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

/**
 * Reads a figure of a process's memory.
 *
 * @param pid - The process.
 * @param name - Name of its line, for example `VmRSS`.
 * @param file - File of `/proc` that has the line.
 * @returns Mebibytes.
 */
export function readMemoryMb(pid: number, name: string, file = 'status'): number {
	const kilobytes = new RegExp(String.raw`\b${name}:\s+(\d+)`, 'v').exec(readFileSync(`/proc/${pid}/${file}`, 'utf8'))?.[1];
	return Number(kilobytes) / kibibytesPerMebibyte;
}
