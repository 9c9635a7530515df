/**
 * Where log lines go: standard output, without ever blocking the program.
 *
 * Lines are written asynchronously. While standard output is not read, up to
 * `MAX_BYTES` wait in memory; further lines are dropped and their number is
 * written with the next line that fits.
 */
import SonicBoom from 'sonic-boom';

/** Lines of about two seconds at the largest rate seen. */
const MAX_BUFFERED_BYTES = 1_048_576;

const STDOUT_FD = 1;

export interface LogSink {
  write(line: string): void;
}

export function createStdoutSink(): LogSink {
  let dropped = 0;
  const out = new SonicBoom({
    fd: STDOUT_FD,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
  });
  out.on('drop', () => (dropped += 1));
  // Nobody is left to tell where standard output has gone.
  out.on('error', () => (dropped += 1));
  process.on('exit', () => {
    try {
      out.flushSync();
    } catch {
      // The descriptor is closed or busy; the lines cannot be delivered.
    }
  });
  return {
    write(line) {
      if (dropped > 0) {
        const lost = dropped;
        dropped = 0;
        out.write(`{"level":"warn","event":"lines dropped","lost":${lost}}\n`);
      }
      out.write(line + '\n');
    },
  };
}
