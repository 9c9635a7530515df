/**
 * A bound on the heap's garbage, in force before any other module is loaded.
 *
 * An instance has 128 MB for a process and V8's default is meant for servers
 * with far more: the old generation collects only after it has grown by a
 * large part. With 1,000 streams more than half of a process's resident
 * memory was garbage. A bound on the young generation as well cost a quarter
 * of the tokens that an entry relays, and by itself freed no memory.
 */
import v8 from 'node:v8';

/** The old generation collects after it has grown by this part. */
const OLD_GENERATION_GROWTH_PERCENT = 10;

v8.setFlagsFromString(
  `--heap-growing-percent=${OLD_GENERATION_GROWTH_PERCENT}`,
);
