/** Preloaded into an entry: registers the hooks that replace its admission and placement by the baseline. */
import {register} from 'node:module';

register('./baseline-hooks.js', import.meta.url);
