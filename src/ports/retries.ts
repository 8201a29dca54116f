/** Retries that hosts spend together. */
import {type Milliseconds} from './clock.js';

export type SharedRetryPool = {
	/** Asks for leave to spend retries; resolves with whether they were granted. */
	take: (pool: string, retries: number) => Promise<boolean>;
	/** Gives retries that this host earned and can't keep to the others. */
	leave: (pool: string, retries: number, now: Milliseconds) => void;
};
