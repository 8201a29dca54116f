/** Input and output of the running process: files, requests to hosts, standard streams. */
import {mkdir, readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readStream} from 'node:stream/consumers';
import ModernError from 'modern-errors';
import {ResultAsync} from 'neverthrow';
import {Agent, request} from 'undici';
import {type AccessFailure, type CliIo, type FetchOptions} from './io.js';

/** A status document has some kilobytes; a response larger than this does not come from a host of banyanport. */
const maxBodyBytes = 16_777_216;

/**
 * Creates the input and output of the running process.
 *
 * @returns Functions whose failures carry messages for the user.
 */
export function createProcessIo(): CliIo {
	return {
		write(text) {
			process.stdout.write(text);
		},
		writeError(text) {
			process.stderr.write(text);
		},
		readText: path => ResultAsync.fromPromise(
			path === '-' ? readStream(process.stdin) : readFile(path, 'utf8'),
			error => toFileFailure(path, 'read', error),
		),
		writeText: (path, text) => ResultAsync.fromPromise(writeFile(path, text), error => toFileFailure(path, 'written', error)),
		makeFolder: path => ResultAsync.fromPromise(mkdir(path, {recursive: true}), error => toFileFailure(path, 'created', error)).map(() => undefined),
		fetchJson: (host, path, options) => ResultAsync.fromPromise(
			fetchJson(host, path, options, process.env.BANYANPORT_OPERATOR_TOKEN),
			error => toHostFailure(host, error),
		),
		env: process.env,
		random: Math.random,
		wallNow: Date.now,
	};
}

const fileRemedies: Readonly<Record<string, string>> = {
	ENOENT: 'there is no such file: check the path',
	EACCES: 'permission denied: check its permissions',
	EISDIR: 'it is a folder without root.yaml or root.json: name a file in it',
	EEXIST: 'a file with this name exists: name a folder',
};

function toFileFailure(path: string, verb: string, error: unknown): AccessFailure {
	const code = toCode(error);
	return {message: `${path} can't be ${verb}: ${fileRemedies[code] ?? code}`};
}

function toCode(error: unknown): string {
	if (error instanceof Error) {
		return 'code' in error && typeof error.code === 'string' ? error.code : error.message;
	}

	return String(error);
}

/** A host answered with a status other than 200. */
const StatusError = ModernError.subclass('StatusError', {props: {status: 0}});

function toStatusError(status: number, path: string): Error {
	const message = status === 401
		? 'the operator token is missing or wrong: set BANYANPORT_OPERATOR_TOKEN'
		: `it answers ${status} to ${path}: check that this is an operators' port`;
	return new StatusError(message, {props: {status}});
}

async function fetchJson(host: string, path: string, {caFile, timeoutMs}: FetchOptions, token: string | undefined): Promise<unknown> {
	const ca = caFile === undefined ? undefined : await readFile(caFile, 'utf8');
	const dispatcher = new Agent({connect: {timeout: timeoutMs, ...(ca !== undefined && {ca})}, maxResponseSize: maxBodyBytes});
	try {
		const base = /^https?:\/\//.test(host) ? host : `${ca === undefined ? 'http' : 'https'}://${host}`;
		const {statusCode, body} = await request(new URL(path, base), {
			dispatcher,
			signal: AbortSignal.timeout(timeoutMs),
			headers: {accept: 'application/json', ...(token !== undefined && {authorization: `Bearer ${token}`})},
		});
		const text = await body.text();
		if (statusCode !== 200) {
			throw toStatusError(statusCode, path);
		}

		return JSON.parse(text) as unknown;
	} finally {
		await dispatcher.close();
	}
}

const hostRemedies: Readonly<Record<string, string>> = {
	ECONNREFUSED: 'nothing listens there: check the port, and whether the host runs',
	ETIMEDOUT: 'it does not answer: check the address, and the network between',
	UND_ERR_CONNECT_TIMEOUT: 'it does not answer: check the address, and the network between',
	ERR_INVALID_URL: 'not an address: write IP:port',
	SELF_SIGNED_CERT_IN_CHAIN: 'its certificate is signed by an unknown authority: name that with --ca',
	DEPTH_ZERO_SELF_SIGNED_CERT: 'its certificate is not signed by an authority: name it with --ca',
};

function toHostFailure(host: string, error: unknown): AccessFailure {
	if (error instanceof StatusError) {
		return {message: `${host} can't be asked: ${error.message}`, status: error.status};
	}

	if (error instanceof Error && error.name === 'TimeoutError') {
		return {message: `${host} can't be asked: no answer within the timeout: raise --timeout, or check the host`};
	}

	const code = error instanceof SyntaxError ? 'its answer is not JSON: check that this is an operators\' port' : toCode(error);
	return {message: `${host} can't be asked: ${hostRemedies[code] ?? code}`};
}
