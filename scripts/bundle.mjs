/** Builds target/boragemill.cjs, the bundle that the platform runs with node. */
import {bundle} from './bundling.mjs';

await bundle('src/platform-main.ts', 'target/boragemill.cjs');
