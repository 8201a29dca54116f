/** Loaded into an entry before anything else: puts the baseline in the place of its decisions. */
import {register} from 'node:module';

register('./baseline-hooks.js', import.meta.url);
