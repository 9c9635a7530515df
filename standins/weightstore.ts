/**
 * Stand-in for the platform's rate-limited weight store.
 *
 * `GET /weights/<layer>/<expert>` is answered when the transfer of the
 * expert's weights would be complete. Transfers run one after another at the
 * rate limit. The weights themselves are not sent.
 */
import http from 'node:http';
import {AddressInfo} from 'node:net';
import express from 'express';

export interface WeightOptions {
  readonly bytesPerS: number;
  readonly expertBytes: number;
}

export class WeightStoreStandin {
  served = 0;
  private idleAtMs = 0;
  private server: http.Server | undefined;

  constructor(private readonly options: WeightOptions) {}

  /** Starts on an ephemeral loopback port and returns the base URL. */
  async start(): Promise<string> {
    const app = express();
    app.get('/weights/:layer/:expert', (req, res) => {
      const {layer, expert} = req.params;
      this.scheduleTransfer(() => res.json({layer, expert}));
    });
    this.server = http.createServer(app);
    await new Promise<void>(done => this.server!.listen(0, '127.0.0.1', done));
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private scheduleTransfer(done: () => void): void {
    const {bytesPerS, expertBytes} = this.options;
    const now = Date.now();
    const transferMs = (expertBytes / bytesPerS) * 1_000;
    this.idleAtMs = Math.max(now, this.idleAtMs) + transferMs;
    this.served += 1;
    setTimeout(done, this.idleAtMs - now);
  }
}
