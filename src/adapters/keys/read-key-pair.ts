import {createHash, createPrivateKey, X509Certificate} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {createSecureContext} from 'node:tls';
import {err, ok, type Result} from 'neverthrow';
import {type Milliseconds} from '../../ports/clock.js';

export type KeyFiles = {
	/** Certificate chain, PEM, own certificate first. */
	certFile: string;
	/** Private key, PEM. */
	keyFile: string;
	/** Certificates of the authorities that sign the peer's certificate, PEM. If set, the peer must present a certificate. */
	caFile?: string | undefined;
};

/** Options for `node:tls` and `node:https`. */
export type TlsOptions = {
	cert: string;
	key: string;
	ca?: string;
	requestCert?: boolean;
	rejectUnauthorized?: boolean;
	minVersion: 'TLSv1.2';
};

export type KeyPair = {
	tls: TlsOptions;
	/** Wall-clock time at which the first certificate of the files expires. */
	expiresAt: Milliseconds;
	/** Digest of the files' contents, to detect changes. */
	digest: string;
};

/** A fault of key files: the file, what is wrong, and the remedy. Never contains any of the files' content. */
export type KeyFault = {file: string; message: string};

/**
 * Reads key files and checks that they can be used together at present.
 *
 * @param files - Paths.
 * @param wallNow - Wall-clock milliseconds at which certificates must be valid.
 * @returns The pair, or the first fault.
 */
export async function readKeyPair(files: KeyFiles, wallNow: Milliseconds): Promise<Result<KeyPair, KeyFault>> {
	const paths = [files.certFile, files.keyFile, ...files.caFile === undefined ? [] : [files.caFile]];
	const texts: string[] = [];
	for (const file of paths) {
		try {
			texts.push(await readFile(file, 'utf8'));
		} catch (error) {
			return err({file, message: `cannot be read (${toCode(error)}): check path and permissions`});
		}
	}

	const [cert, key, ca] = texts as [string, string, string | undefined];
	const chain = readCertificates(files.certFile, cert, wallNow);
	const authorities = ca === undefined ? ok([]) : readCertificates(files.caFile!, ca, wallNow);
	if (chain.isErr() || authorities.isErr()) {
		return err(chain.isErr() ? chain.error : authorities._unsafeUnwrapErr());
	}

	const tls: TlsOptions = {
		cert, key, minVersion: 'TLSv1.2', ...ca === undefined ? {} : {ca, requestCert: true, rejectUnauthorized: true},
	};
	try {
		// A key file may be empty while it is being copied. `createSecureContext` accepts
		// an empty key, and the server would refuse every caller with "handshake failure"
		// until the next check of the files. `createPrivateKey` refuses an empty key.
		createPrivateKey(key);
		createSecureContext(tls);
	} catch {
		return err({file: files.keyFile, message: `is no private key, or not the one of the first certificate in ${files.certFile}: give the key that the certificate was made for`});
	}

	const expiresAt = Math.min(...[...chain.value, ...authorities.value].map(each => Date.parse(each.validTo)));
	return ok({tls, expiresAt, digest: createHash('sha256').update(texts.join('\0')).digest('hex')});
}

const certificatePattern = /-{5}BEGIN CERTIFICATE-{5}[\s\S]+?-{5}END CERTIFICATE-{5}/g;

function readCertificates(file: string, text: string, wallNow: Milliseconds): Result<X509Certificate[], KeyFault> {
	const blocks = text.match(certificatePattern) ?? [];
	if (blocks.length === 0) {
		return err({file, message: 'has no PEM certificate in it: give a file with a BEGIN CERTIFICATE line'});
	}

	const certificates: X509Certificate[] = [];
	for (const [i, block] of blocks.entries()) {
		try {
			certificates.push(new X509Certificate(block));
		} catch {
			return err({file, message: `its certificate ${i + 1} cannot be parsed: copy the file again, whole`});
		}
	}

	const wrong = certificates.find(each => Date.parse(each.validTo) <= wallNow || Date.parse(each.validFrom) > wallNow);
	if (wrong !== undefined) {
		return err({file, message: `a certificate in it is valid only from ${wrong.validFrom} to ${wrong.validTo}: renew it, or check this host's clock`});
	}

	return ok(certificates);
}

function toCode(error: unknown): string {
	return error instanceof Error && 'code' in error ? String(error.code) : 'unknown';
}
