/**
 * Stand-in for a plain service: stock look-ups and an order application.
 *
 * `GET /stock/<item>` is idempotent. `POST /orders` is not: each call runs
 * the order again, and the executions of each order reference are counted.
 */
import http from 'node:http';
import express from 'express';
import {listen} from './ports';

export class ServiceStandin {
  /** Executions of `POST /orders`, by the body's `reference`. */
  readonly executions = new Map<string, number>();
  calls = 0;
  /** Calls in flight, and the highest number of them so far. */
  running = 0;
  peak = 0;
  /** Delay before an order is executed, and again before its answer. */
  delayMs = 0;
  /** Delay of a stock look-up. */
  lookupMs = 0;
  private server: http.Server | undefined;

  /** Starts on a loopback port, ephemeral by default; returns the base URL. */
  async start(onPort?: number): Promise<string> {
    const app = express();
    app.use(express.json());
    app.use((req, res, next) => {
      this.calls += 1;
      this.running += 1;
      this.peak = Math.max(this.peak, this.running);
      res.on('close', () => (this.running -= 1));
      next();
    });
    app.get('/stock/:item', async (req, res) => {
      await pause(this.lookupMs);
      res.json({item: req.params.item, onHand: 42});
    });
    app.post('/orders', async (req, res) => {
      const {reference} = req.body as {reference: string};
      await pause(this.delayMs);
      const times = (this.executions.get(reference) ?? 0) + 1;
      this.executions.set(reference, times);
      await pause(this.delayMs);
      res.status(201).json({reference, number: this.executions.size, times});
    });
    app.get('/executions', (req, res) => {
      res.json(Object.fromEntries(this.executions));
    });
    this.server = http.createServer(app);
    const port = await listen(this.server, onPort);
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }
}

function pause(ms: number): Promise<void> {
  if (ms === 0) return Promise.resolve();
  return new Promise(done => setTimeout(done, ms));
}
