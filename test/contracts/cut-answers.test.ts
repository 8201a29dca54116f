/** Property of answers whose server stops after any byte of the head or the body. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createHttpAgent} from '../../src/adapters/_lib/create-http-agent/index.js';
import {readAnswer} from '../../src/adapters/_lib/read-answer/index.js';
import {resetSocket} from '../_lib/reset-socket/index.js';

const timeoutMs = 2000;
const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const common = 'request-id: r1\r\nserver-seal: s1\r\n';

/** An answer as bytes, its body, and from which byte on an orderly close may be its end. */
type Form = {bytes: string; body: string; endsFrom: number};

const toForm = (bytes: string, body: string): Form => ({bytes, body, endsFrom: bytes.length});
const toUnframed = (head: string, body: string): Form => ({bytes: `${head}${body}`, body, endsFrom: head.length});

const forms: Readonly<Record<string, Form>> = {
	'with a length': toForm(`HTTP/1.1 200 OK\r\n${common}content-length: 5\r\n\r\nhello`, 'hello'),
	'in chunks': toForm(`HTTP/1.1 200 OK\r\n${common}transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n`, 'hello'),
	'in chunks with extensions and trailers': toForm(`HTTP/1.1 200 OK\r\n${common}transfer-encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0;c\r\nx-trailer: 1\r\n\r\n`, 'hello'),
	'in chunks, after which the connection ends': toForm(`HTTP/1.1 200 OK\r\n${common}connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`, 'hello'),
	'after an informational head': toForm(`HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n${common}content-length: 5\r\n\r\nhello`, 'hello'),
	'of HTTP/1.0 with a length': toForm(`HTTP/1.0 200 OK\r\n${common}content-length: 5\r\n\r\nhello`, 'hello'),
	'without framing': toUnframed(`HTTP/1.1 200 OK\r\n${common}\r\n`, 'hello'),
	'of HTTP/1.0 without framing': toUnframed(`HTTP/1.0 200 OK\r\n${common}\r\n`, 'hello'),
	'of events without framing': toUnframed(`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n${common}\r\n`, events),
};

/** How a server stops. */
const endings = ['close', 'reset'] as const;

let server: Server;
let script: (socket: Socket) => void;

/** Sends the first bytes of an answer in pieces, and stops. */
async function sendPart(socket: Socket, sent: string, {pieceLength, ending}: {pieceLength: number; ending: typeof endings[number]}): Promise<void> {
	for (let at = 0; at < sent.length; at += pieceLength) {
		socket.write(sent.slice(at, at + pieceLength));
		await nextTurn();
	}

	if (ending === 'close') {
		socket.end();
	} else {
		resetSocket(socket);
	}
}

async function ask() {
	const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: timeoutMs});
	const answer = await readAnswer({
		dispatcher, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs,
	}, 1000);
	await dispatcher.destroy();
	return answer;
}

/** Whether a part of an answer may be taken as a whole one. */
function mayBeWhole({bytes, body, endsFrom}: Form, {length, ending}: {length: number; ending: typeof endings[number]}): boolean {
	if (length === bytes.length && endsFrom === bytes.length) {
		return true;
	}

	// Nothing but the bytes of events tells whether an orderly close is the end of an answer without framing.
	const part = body.slice(0, length - endsFrom);
	return ending === 'close' && length >= endsFrom && (body !== events || part.endsWith('\n\n'));
}

// Guards against an empty or short answer that passes for a whole one, because its server stopped in the middle of it.
describe('an answer whose server stops', {timeout: 120_000}, () => {
	before(async () => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				script(socket);
			});
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
	});
	after(() => {
		server.close();
	});

	for (const [what, form] of Object.entries(forms)) {
		for (const ending of endings) {
			it(`counts as whole only if it is, whatever the byte after which the server stops: ${what}, ${ending}`, async () => {
				for (let length = 0; length <= form.bytes.length; length++) {
					script = socket => {
						void sendPart(socket, form.bytes.slice(0, length), {pieceLength: length % 2 === 0 ? length + 1 : 17, ending});
					};

					const answer = await ask();
					const details = JSON.stringify({sent: form.bytes.slice(0, length), answer});
					assert.ok(answer.isErr() || mayBeWhole(form, {length, ending}), details);
					assert.ok(ending === 'reset' || length < form.bytes.length || answer.isOk(), details);
				}
			});
		}
	}
});
