/**
 * Follows the passes of a sidecar's group and the limit that results for its rank.
 */
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';
import {PassTarget} from './passtarget';
import {measurePasses, PassMeter} from './passtime';
import {RankReport} from './rank';
import {
  groupRange,
  halfSlotsRange,
  recordStretch,
  requestLimit,
  StretchHistory,
} from './requestlimit';

export class PassObserver {
  private meter: PassMeter | undefined;
  private stretches: StretchHistory = [];
  private meanMs = 0;
  private loggedLimit: number | undefined;

  constructor(
    /** Undefined while neither the configuration nor an entry gave one. */
    private readonly target: () => PassTarget | undefined,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Whether to log each measurement; one rank of a group is enough. */
    private readonly logsPasses: () => boolean = () => true,
  ) {}

  /** Mean time of the passes measured last, in milliseconds; 0 before. */
  get lastMeanMs(): number {
    return this.meanMs;
  }

  /** Requests that may be at the rank; undefined if it has no limit. */
  get limit(): number | undefined {
    const target = this.target();
    if (target?.targetGapMs === undefined) return undefined;
    const {engine, targetGapMs, hasClasses} = target;
    const nowMs = this.clock.elapsedMs();
    const rangeOf = hasClasses ? groupRange : halfSlotsRange;
    return requestLimit(this.stretches, engine, targetGapMs, nowMs, rangeOf);
  }

  handleReport(report: RankReport): void {
    this.measure(report);
    const {limit} = this;
    if (limit === this.loggedLimit) return;
    this.log('info', 'request limit', {
      group: report.group,
      limit: limit ?? null,
      before: this.loggedLimit ?? null,
      targetGapMs: this.target()?.targetGapMs ?? null,
      meanMs: Math.round(this.meanMs),
    });
    this.loggedLimit = limit;
  }

  private measure(report: RankReport): void {
    const nowMs = this.clock.elapsedMs();
    const {meter, measured} = measurePasses(this.meter, report, nowMs);
    this.meter = meter;
    if (!measured) return;
    this.meanMs = measured.meanMs;
    const engine = this.target()?.engine;
    if (engine) {
      this.stretches = recordStretch(this.stretches, engine, measured, nowMs);
    }
    this.log(this.logsPasses() ? 'info' : 'debug', 'passes measured', {
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
