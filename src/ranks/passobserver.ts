/**
 * Follows the passes of a sidecar's group and the limit that results for its rank.
 */
import {EngineSpec} from '../gateway/model';
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';
import {measurePasses, PassMeter} from './passtime';
import {RankReport} from './rank';
import {recordStretch, requestLimit, StretchHistory} from './requestlimit';

/** What the configuration says about the service of the rank. */
export interface PassTarget {
  readonly engine: EngineSpec;
  /** Longest pause between two events that is on time, in milliseconds. */
  readonly gapMs: number;
}

export class PassObserver {
  private meter: PassMeter | undefined;
  private stretches: StretchHistory = [];
  private meanMs = 0;

  constructor(
    /** Undefined if the configuration is not known or names no longest pause. */
    private readonly target: () => PassTarget | undefined,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Mean time of the passes measured last, in milliseconds; 0 before. */
  get lastMeanMs(): number {
    return this.meanMs;
  }

  /** Requests that may be at the rank; undefined if it has no limit. */
  get limit(): number | undefined {
    const target = this.target();
    if (!target) return undefined;
    const {engine, gapMs} = target;
    return requestLimit(this.stretches, engine, gapMs, this.clock.elapsedMs());
  }

  handleReport(report: RankReport): void {
    const nowMs = this.clock.elapsedMs();
    const {meter, measured} = measurePasses(this.meter, report, nowMs);
    this.meter = meter;
    if (!measured) return;
    this.meanMs = measured.meanMs;
    const engine = this.target()?.engine;
    if (engine) {
      this.stretches = recordStretch(this.stretches, engine, measured, nowMs);
    }
    this.log('info', 'passes measured', {
      group: report.group,
      pass: report.pass,
      passes: measured.passes,
      meanMs: Math.round(measured.meanMs),
      running: Number(measured.running.toFixed(1)),
      map: report.map,
      limit: this.limit,
    });
  }
}
