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
}

export class TcpProxy {
  address = '';
  private target = '';
  private readonly pairs = new Set<Pair>();
  private isHeld = false;
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

  release(): void {
    this.isHeld = false;
    for (const {far} of this.pairs) far.resume();
  }

  private accept(near: net.Socket): void {
    const [host, port] = this.target.split(':');
    const far = net.connect(Number(port), host!);
    const pair = {near, far, isSilent: false};
    this.pairs.add(pair);
    near.on('data', chunk => {
      if (!pair.isSilent) far.write(chunk);
    });
    far.on('data', chunk => near.write(chunk));
    if (this.isHeld) far.pause();
    near.on('close', () => {
      this.pairs.delete(pair);
      far.destroy();
    });
    far.on('close', () => {
      if (!pair.isSilent) near.destroy();
    });
    for (const socket of [near, far]) socket.on('error', () => undefined);
  }
}
