/**
 * Stand-in for the platform's rate-limited weight store.
 *
 * `GET /weights/<layer>/<expert>` is answered when the transfer of the
 * expert's weights would be complete. Transfers run one after another at the
 * rate limit. The weights themselves are not sent.
 */
import http from 'node:http';
import express from 'express';
import {listen} from './ports';

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
    const port = await listen(this.server);
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
