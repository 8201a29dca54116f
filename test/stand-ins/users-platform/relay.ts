/** Runs the relay as a process of its own, as on the users' machines. */
import {main} from '../../../platform/main.js';

await main();
