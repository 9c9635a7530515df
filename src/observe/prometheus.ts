/**
 * Counters, gauges and latency histograms for a Prometheus scraper.
 *
 * They are rendered in the text exposition format of Prometheus. Histograms
 * are kept by hdr-histogram-js and rendered as quantiles.
 */
import http from 'node:http';
import {build, Histogram} from 'hdr-histogram-js';

export type Labels = Readonly<Record<string, string>>;

/** Quantiles that are rendered for each histogram. */
const QUANTILES = [0.5, 0.9, 0.95, 0.99];

/** Longer durations are recorded as this one, in milliseconds. */
const MAX_DURATION_MS = 60_000;

export class MetricsRegistry {
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, Histogram>();
  private readonly gauges = new Map<string, () => number>();

  increment(name: string, labels: Labels = {}, by = 1): void {
    const key = seriesName(name, labels);
    this.counters.set(key, (this.counters.get(key) ?? 0) + by);
  }

  /** Adds a duration to a histogram; its name should end in `_ms`. */
  recordDuration(name: string, ms: number, labels: Labels = {}): void {
    const key = seriesName(name, labels);
    let histogram = this.histograms.get(key);
    if (!histogram) {
      histogram = build({
        bitBucketSize: 32,
        highestTrackableValue: MAX_DURATION_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.histograms.set(key, histogram);
    }
    histogram.recordValue(
      Math.min(MAX_DURATION_MS, Math.max(0, Math.round(ms))),
    );
  }

  /** Registers a value that is read at each scrape. */
  registerGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  render(): string {
    const lines: string[] = [];
    for (const [key, value] of this.counters) lines.push(`${key} ${value}`);
    for (const [key, read] of this.gauges) lines.push(`${key} ${read()}`);
    for (const [key, histogram] of this.histograms) {
      for (const q of QUANTILES) {
        const value = histogram.getValueAtPercentile(q * 100);
        lines.push(`${addLabel(key, `quantile="${q}"`)} ${value}`);
      }
      const [name, labels = ''] = key.split(/(?=\{)/);
      lines.push(`${name}_count${labels} ${histogram.totalCount}`);
    }
    return lines.join('\n') + '\n';
  }

  handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    req.resume();
    const text = this.render();
    res.writeHead(200, {
      'Content-Type': 'text/plain; version=0.0.4',
      'Content-Length': Buffer.byteLength(text),
    });
    res.end(text);
  }
}

function seriesName(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([k, v]) => `${k}="${v}"`);
  return pairs.length > 0 ? `${name}{${pairs.join(',')}}` : name;
}

function addLabel(key: string, pair: string): string {
  return key.endsWith('}') ? `${key.slice(0, -1)},${pair}}` : `${key}{${pair}}`;
}
