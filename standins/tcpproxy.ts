/**
 * Stand-in for the network between a process and a server: a TCP proxy whose
 * connections can be held up or go silent for good.
 */
import net from 'node:net';
import {listen} from './ports';

interface Pair {
  readonly near: net.Socket;
  readonly far: net.Socket;
  isSilent: boolean;
  /** What the client has sent and the server has not been given yet. */
  readonly held: Buffer[];
}

export class TcpProxy {
  address = '';
  private target = '';
  private readonly pairs = new Set<Pair>();
  private isHeld = false;
  private holdsCalls = false;
  private readonly server = net.createServer(near => this.accept(near));

  /** Listens in front of `target`, an `IP:port`. */
  async start(target: string): Promise<string> {
    this.target = target;
    const port = await listen(this.server);
    this.address = `127.0.0.1:${port}`;
    return this.address;
  }

  stop(): void {
    this.server.close();
    for (const {near, far} of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  /** Number of open connections. */
  get connections(): number {
    return this.pairs.size;
  }

  /**
   * Lets the open connections go silent without an error; new ones work. Spares
   * those that `isSpared` names, by their number in the order of opening.
   */
  silence(isSpared: (opened: number) => boolean = () => false): void {
    for (const [opened, pair] of [...this.pairs].entries()) {
      if (isSpared(opened)) continue;
      pair.isSilent = true;
      pair.far.destroy();
    }
  }

  /** Holds what the server sends until `release` is called. */
  hold(): void {
    this.isHeld = true;
    for (const {far} of this.pairs) far.pause();
  }

  /**
   * Holds what clients send until `release` is called, as a link that is cut does: a
   * connection that its client closed in order still delivers it then, one that the
   * client reset does not.
   */
  holdCalls(): void {
    this.holdsCalls = true;
  }

  release(): void {
    this.isHeld = false;
    this.holdsCalls = false;
    for (const pair of [...this.pairs]) {
      const {near, far, held} = pair;
      far.resume();
      for (const chunk of held.splice(0)) far.write(chunk);
      if (!near.destroyed) continue;
      far.end();
      this.pairs.delete(pair);
    }
  }

  private accept(near: net.Socket): void {
    const [host, port] = this.target.split(':');
    const far = net.connect(Number(port), host!);
    const pair: Pair = {near, far, isSilent: false, held: []};
    this.pairs.add(pair);
    near.on('data', chunk => {
      if (pair.isSilent) return;
      if (this.holdsCalls) pair.held.push(chunk);
      else far.write(chunk);
    });
    far.on('data', chunk => near.write(chunk));
    if (this.isHeld) far.pause();
    near.on('close', isReset => {
      if (!isReset && pair.held.length > 0) return;
      this.pairs.delete(pair);
      far.destroy();
    });
    far.on('close', () => {
      if (!pair.isSilent) near.destroy();
    });
    for (const socket of [near, far]) socket.on('error', () => undefined);
  }
}
