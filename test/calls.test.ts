/**
 * Guards against a plain service that restarts and is given as much as
 * before, and against one that never gets more than a cold one bears.
 */
import {expect} from 'chai';
import {
  recordAnswer,
  recordBegin,
  recordBreak,
  CallStats,
  IDLE_MS,
  recordCancel,
  noCallStats,
  takeObservation,
} from '../src/sidecar/calls';

const CALL_MS = 20;

/** `count` calls that run together and are answered. */
function answeredTogether(
  calls: CallStats,
  count: number,
  nowMs: number,
): CallStats {
  let now = calls;
  for (let i = 0; i < count; i++) now = recordBegin(now, nowMs);
  for (let i = 0; i < count; i++)
    now = recordAnswer(now, CALL_MS, nowMs + CALL_MS);
  return now;
}

describe('calls of a plain service', () => {
  it('count as steps of a batch', () => {
    const calls = answeredTogether(noCallStats, 6, 1_000);
    const {state} = takeObservation(calls, 1_050);
    expect(state).to.include({stepMs: CALL_MS, batch: 6, steps: 6});
  });

  it('show a restart when one breaks', () => {
    const before = takeObservation(
      answeredTogether(noCallStats, 6, 1_000),
      1_050,
    );
    const calls = recordBreak(recordBegin(before.calls, 1_060), 1_070);
    const after = takeObservation(calls, 1_080);
    expect(after.state.instance).to.not.equal(before.state.instance);
    expect(after.state.steps).to.equal(0);
  });

  it('show no restart when a caller gives one up', () => {
    const before = takeObservation(
      answeredTogether(noCallStats, 6, 1_000),
      1_050,
    );
    const calls = recordCancel(recordBegin(before.calls, 1_060), 1_070);
    const after = takeObservation(calls, 1_080);
    expect(after.state.instance).to.equal(before.state.instance);
  });

  it('count as a restart when there were none for a while', () => {
    const before = takeObservation(
      answeredTogether(noCallStats, 6, 1_000),
      1_050,
    );
    const early = takeObservation(before.calls, 1_020 + IDLE_MS);
    expect(early.state.instance).to.equal(before.state.instance);
    const late = takeObservation(early.calls, 1_021 + IDLE_MS);
    expect(late.state.instance).to.not.equal(before.state.instance);
    const again = takeObservation(late.calls, 9_000);
    expect(again.state.instance).to.equal(late.state.instance);
  });

  it('that take long are no time without calls', () => {
    const before = takeObservation(
      answeredTogether(noCallStats, 6, 1_000),
      1_050,
    );
    const calls = recordBegin(before.calls, 1_100);
    const after = takeObservation(calls, 1_100 + 2 * IDLE_MS);
    expect(after.state.instance).to.equal(before.state.instance);
  });
});
