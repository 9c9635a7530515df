/**
 * Writes log lines to standard output without ever blocking the program.
 *
 * Lines are written asynchronously. While nothing reads standard output, up to
 * `MAX_BUFFERED_BYTES` wait in memory. Further lines are dropped, and their
 * number is logged before the next line.
 */
import SonicBoom from 'sonic-boom';

/** About two seconds of log lines at the highest rate seen. */
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
  // Standard output is gone, so the error cannot be reported anywhere.
  out.on('error', () => (dropped += 1));
  process.on('exit', () => {
    try {
      out.flushSync();
    } catch {
      // The descriptor is closed or busy; the lines are lost.
    }
  });
  return {
    write(line) {
      if (dropped > 0) {
        const lost = dropped;
        dropped = 0;
        out.write(
          `{"level":"warn","event":"log lines dropped","lost":${lost}}\n`,
        );
      }
      out.write(line + '\n');
    },
  };
}
