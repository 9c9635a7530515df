/**
 * A task owns its state and its sockets and is reached only by messages.
 *
 * Messages are handled one after another in the order of their arrival. A
 * message posted while another is handled waits for its turn, so a handler
 * never sees the state half changed.
 */
export interface Task<M> {
  post(message: M): void;
}

/** Makes a task of a message handler. */
export function task<M>(handle: (message: M) => void): Task<M> {
  const mailbox: M[] = [];
  let handling = false;

  function drain(): void {
    handling = true;
    try {
      for (let m = mailbox.shift(); m !== undefined; m = mailbox.shift()) {
        handle(m);
      }
    } finally {
      handling = false;
    }
  }

  return {
    post(message) {
      mailbox.push(message);
      if (!handling) drain();
    },
  };
}
