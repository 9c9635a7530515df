/**
 * Limits the answers that `got` reads.
 *
 * A faulty server may send bytes without an end, and within a time limit they can
 * fill the memory of the process. Compressed answers are not accepted, because
 * their size before decompression says nothing.
 */
import {ExtendOptions} from 'got';

/** Options with which a call rejects once its answer is over `maxBytes`. */
export function limitDownload(maxBytes: number): ExtendOptions {
  return {
    decompress: false,
    handlers: [
      (options, next) => {
        const call = next(options);
        if (!('cancel' in call)) return call;
        void call.on('downloadProgress', ({transferred}) => {
          if (transferred > maxBytes)
            call.cancel(`answer is larger than ${maxBytes} bytes`);
        });
        return call;
      },
    ],
  };
}
