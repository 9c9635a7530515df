/**
 * Guards against two faults of deriving a plain service's state from its calls:
 * a service that has restarted keeps its bound, or a warm service keeps the
 * bound of a cold one.
 */
import {expect} from 'chai';
import {
  recordAnswer,
  recordBegin,
  recordBreak,
  CallStats,
  RESTART_IDLE_MS,
  recordCancel,
  noCallStats,
  takeObservation,
} from '../src/sidecar/callstats';

const CALL_MS = 20;

/** Records `count` concurrent calls that are answered. */
function recordConcurrentCalls(
  calls: CallStats,
  count: number,
  nowMs: number,
): CallStats {
  let stats = calls;
  for (let i = 0; i < count; i++) stats = recordBegin(stats, nowMs);
  for (let i = 0; i < count; i++)
    stats = recordAnswer(stats, CALL_MS, nowMs + CALL_MS);
  return stats;
}

describe('calls of a plain service', () => {
  it('are reported as steps of a batch', () => {
    const calls = recordConcurrentCalls(noCallStats, 6, 1_000);
    const {state} = takeObservation(calls, 1_050);
    expect(state).to.include({stepMs: CALL_MS, batch: 6, steps: 6});
  });

  it('report a restart when one breaks', () => {
    const before = takeObservation(
      recordConcurrentCalls(noCallStats, 6, 1_000),
      1_050,
    );
    const calls = recordBreak(recordBegin(before.calls, 1_060), 1_070);
    const after = takeObservation(calls, 1_080);
    expect(after.state.instance).to.not.equal(before.state.instance);
    expect(after.state.steps).to.equal(0);
  });

  it('report no restart when a caller cancels one', () => {
    const before = takeObservation(
      recordConcurrentCalls(noCallStats, 6, 1_000),
      1_050,
    );
    const calls = recordCancel(recordBegin(before.calls, 1_060), 1_070);
    const after = takeObservation(calls, 1_080);
    expect(after.state.instance).to.equal(before.state.instance);
  });

  it('report a restart once after an idle period', () => {
    const before = takeObservation(
      recordConcurrentCalls(noCallStats, 6, 1_000),
      1_050,
    );
    const early = takeObservation(before.calls, 1_020 + RESTART_IDLE_MS);
    expect(early.state.instance).to.equal(before.state.instance);
    const late = takeObservation(early.calls, 1_021 + RESTART_IDLE_MS);
    expect(late.state.instance).to.not.equal(before.state.instance);
    const again = takeObservation(late.calls, 9_000);
    expect(again.state.instance).to.equal(late.state.instance);
  });

  it('report no restart while one takes long', () => {
    const before = takeObservation(
      recordConcurrentCalls(noCallStats, 6, 1_000),
      1_050,
    );
    const calls = recordBegin(before.calls, 1_100);
    const after = takeObservation(calls, 1_100 + 2 * RESTART_IDLE_MS);
    expect(after.state.instance).to.equal(before.state.instance);
  });
});
