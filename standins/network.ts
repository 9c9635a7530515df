/**
 * Simulates the network between availability zones with TCP relays on
 * loopback.
 *
 * The processes of a zone reach each port of another zone through a relay.
 * A cut stops the bytes in one or both directions but closes no connection,
 * as in a network partition. Healing closes the connections that were cut,
 * because bytes on them are lost.
 */
import net from 'node:net';
import {listen} from './ports';

interface Relay {
  readonly from: string;
  readonly to: string;
  readonly port: number;
  readonly server: net.Server;
  readonly connections: Set<RelayedConnection>;
}

interface RelayedConnection {
  readonly caller: net.Socket;
  readonly target: net.Socket;
}

export class Network {
  private readonly relays = new Map<string, Relay>();
  /** The directions that are cut, as `from>to`. */
  private readonly cuts = new Set<string>();

  /**
   * The port at which processes of zone `from` reach `port` of zone `to`:
   * that of a relay, or `port` itself within a zone.
   */
  async relayPort(from: string, to: string, port: number): Promise<number> {
    if (from === to) return port;
    const key = `${from}>${to}:${port}`;
    const relay =
      this.relays.get(key) ?? (await this.openRelay(from, to, port));
    this.relays.set(key, relay);
    return (relay.server.address() as net.AddressInfo).port;
  }

  /** Stops the bytes between two zones in both directions. */
  cut(a: string, b: string): void {
    this.cutOneWay(a, b);
    this.cutOneWay(b, a);
  }

  /** Stops the bytes from one zone to another, but not back. */
  cutOneWay(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
    this.pauseCutDirections();
  }

  healAll(): void {
    this.cuts.clear();
    for (const {connections} of this.relays.values()) {
      for (const {caller, target} of connections) {
        if (!caller.isPaused() && !target.isPaused()) continue;
        caller.destroy();
        target.destroy();
      }
    }
  }

  stop(): void {
    for (const {server, connections} of this.relays.values()) {
      server.close();
      for (const {caller, target} of connections) {
        caller.destroy();
        target.destroy();
      }
    }
  }

  private async openRelay(
    from: string,
    to: string,
    port: number,
  ): Promise<Relay> {
    const connections = new Set<RelayedConnection>();
    const server = net.createServer(caller => {
      const target = net.connect(port, '127.0.0.1');
      const connection = {caller, target};
      connections.add(connection);
      const closeBoth = () => {
        connections.delete(connection);
        caller.destroy();
        target.destroy();
      };
      for (const socket of [caller, target]) {
        socket.on('error', closeBoth);
        socket.on('close', closeBoth);
      }
      caller.on('data', data => target.write(data));
      target.on('data', data => caller.write(data));
      this.pauseCutDirections();
    });
    await listen(server);
    return {from, to, port, server, connections};
  }

  private pauseCutDirections(): void {
    for (const {from, to, connections} of this.relays.values()) {
      for (const {caller, target} of connections) {
        if (this.cuts.has(`${from}>${to}`)) caller.pause();
        if (this.cuts.has(`${to}>${from}`)) target.pause();
      }
    }
  }
}
