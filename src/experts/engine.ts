/**
 * HTTP client of a model engine's interface for expert maps.
 *
 * `GET /experts` reports the maps that the engine holds, its last step and the
 * load since the last report. `POST /experts/load`, `/experts/activate` and
 * `/experts/drop` give orders, each with a fencing number. An engine that
 * checks fencing numbers answers 409 to an old one. Loading continues in the
 * background after the answer.
 */
import got from 'got';
import {z} from 'zod';
import {limitDownload} from '../kernel/downloadlimit';
import {MapOrder} from './group';
import {Shape} from './map';

const orderSchema = z.object({
  epoch: z.number(),
  version: z.number(),
  hash: z.string(),
});

const reportSchema = z.object({
  shape: z.object({
    layers: z.number(),
    ranks: z.number(),
    slotsPerRank: z.number(),
    experts: z.number(),
  }),
  held: z.array(z.string()),
  step: orderSchema.nullable(),
  stepMs: z.number(),
  /** Tokens of each expert since the last report, layer by layer. */
  expertTokens: z.array(z.number()),
  /** Time in milliseconds of each rank of the endpoint in its last step. */
  rankMs: z.array(z.number()),
});

export interface EngineReport {
  readonly shape: Shape;
  readonly held: readonly string[];
  readonly step: MapOrder | null;
  readonly stepMs: number;
  readonly expertTokens: readonly number[];
  readonly rankMs: readonly number[];
}

/** Each call rejects if the engine does not answer or refuses the order. */
export interface RankEngine {
  report(): Promise<EngineReport>;
  load(order: MapOrder, map: string): Promise<void>;
  activate(order: MapOrder): Promise<void>;
  drop(epoch: number, belowVersion: number): Promise<void>;
}

const REQUEST_TIMEOUT_MS = 2_000;
/** A report has a number for each expert of each layer. */
const MAX_REPORT_BYTES = 4_194_304;

export function createRankEngine(
  url: string,
  weightStoreUrl: string,
): RankEngine {
  const http = got.extend(limitDownload(MAX_REPORT_BYTES), {
    prefixUrl: `${url}/experts`,
    timeout: {request: REQUEST_TIMEOUT_MS},
    retry: {limit: 0},
  });
  return {
    report: async () => reportSchema.parse(await http.get('').json()),
    async load(order, map) {
      await http.post('load', {json: {...order, map, weightStoreUrl}});
    },
    async activate(order) {
      await http.post('activate', {json: order});
    },
    async drop(epoch, belowVersion) {
      await http.post('drop', {json: {epoch, belowVersion}});
    },
  };
}
