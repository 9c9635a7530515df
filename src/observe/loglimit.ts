/**
 * Limits log lines that callers can cause: one a second for each event and reason,
 * with the number of lines left out before it.
 */
import {Clock} from '../kernel/clock';
import {Log, LogFields, LogLevel} from './log';

const INTERVAL_MS = 1_000;

export interface LimitedLog {
  (level: LogLevel, event: string, reason: string, fields?: LogFields): void;
}

/** `reason` must be one of a fixed set. */
export function limitLog(log: Log, clock: Clock): LimitedLog {
  const last = new Map<string, {readonly ms: number; omitted: number}>();
  return (level, event, reason, fields = {}) => {
    const key = `${event} ${reason}`;
    const before = last.get(key);
    const nowMs = clock.elapsedMs();
    if (before && nowMs - before.ms < INTERVAL_MS) {
      before.omitted += 1;
      return;
    }
    last.set(key, {ms: nowMs, omitted: 0});
    log(level, event, {reason, omitted: before?.omitted ?? 0, ...fields});
  };
}
