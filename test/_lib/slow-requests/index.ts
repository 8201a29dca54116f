/** Preloaded into a program: makes each request cost processor time before it is sent on, as on a small host. The cost is spent where requests are hashed. */
import crypto from 'node:crypto';
import {syncBuiltinESMExports} from 'node:module';

/** Processor time of a hash, milliseconds; a request has two. */
const costMs = 6;

const {createHash} = crypto;

crypto.createHash = (...options: Parameters<typeof createHash>) => {
	const until = performance.now() + costMs;
	while (performance.now() < until) {
		// The processor is kept busy.
	}

	return createHash(...options);
};

syncBuiltinESMExports();
