/** Metrics sent to statsd; without settings no call does anything. */
import {StatsD} from 'hot-shots';
import {MetricsSettings} from '../settings/schema';

export type Tags = Readonly<Record<string, string>>;

export interface Metrics {
  count(name: string, value?: number, tags?: Tags): void;
  gauge(name: string, value: number, tags?: Tags): void;
  /** A duration in milliseconds. */
  timing(name: string, ms: number, tags?: Tags): void;
  close(): void;
}

export const noMetrics: Metrics = {
  count() {},
  gauge() {},
  timing() {},
  close() {},
};

/** Sends metrics to the statsd address of the settings. */
export function statsdMetrics(
  settings: MetricsSettings | undefined,
  globalTags: Tags,
): Metrics {
  if (!settings) return noMetrics;
  const client = new StatsD({
    ...settings,
    globalTags,
    errorHandler: () => undefined,
  });
  return {
    count: (name, value = 1, tags) => client.increment(name, value, tags),
    gauge: (name, value, tags) => client.gauge(name, value, tags),
    timing: (name, ms, tags) => client.timing(name, ms, tags),
    close: () => client.close(),
  };
}
