/** Starts the bundled program. */
import {loadProgram, readCache} from './load-program.js';

const {program} = loadProgram(readCache());
await program.main();
