/** Builds target/boragemill.cjs, the bundle that the platform runs with node. */
import {bundle} from './bundling.mjs';

await bundle('target/boragemill.cjs');
