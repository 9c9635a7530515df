/**
 * A task owns its state and its sockets; others only post messages to it.
 *
 * Messages are handled one at a time in the order of arrival. A message that
 * is posted while another is being handled is queued, so a handler never sees
 * partly updated state.
 */
export interface Task<M> {
  post(message: M): void;
}

/** Returns a task that handles its messages with `handle`. */
export function createTask<M>(handle: (message: M) => void): Task<M> {
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
