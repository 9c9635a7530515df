/** Builds target/boragemill.cjs, which the platform runs with Node.js. */
import {bundle} from './bundling.mjs';

await bundle('src/platform-main.ts', 'target/boragemill.cjs');
