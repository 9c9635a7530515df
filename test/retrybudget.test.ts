/**
 * The retry budget that all gateways of a deployment share.
 *
 * Guards against gateways that together send more retries than the deployment
 * may, although each keeps to its own budget.
 */
import {expect} from 'chai';
import {
  DeploymentModel,
  ModelSettings,
  RETRY_RATIO,
  RETRY_WINDOW_MS,
} from './deploymentmodel';

const GATEWAYS = 44;
const RETRY_SLACK = 242;
const SLOTS = 100;

/** Gateways whose requests all fail from `failingFromMs` on. */
function failingDeployment(
  seed: number,
  failingFromMs: number,
  changes: Partial<ModelSettings> = {},
): DeploymentModel {
  return new DeploymentModel({
    seed,
    gateways: GATEWAYS,
    endpoints: Array.from({length: 12}, (_, i) => `e${i}`),
    slots: SLOTS,
    requestIntervalMs: 150,
    treat: (_, nowMs) => ({
      ms: 5,
      outcome: nowMs >= failingFromMs ? 'failed' : 'answered',
    }),
    report: () => ({running: 0}),
    reportedGateways: () => GATEWAYS,
    ...changes,
  });
}

/** Largest number of retries in a window beyond what is allowed in it. */
function worstExcess(
  {requestsMs, arrivals}: DeploymentModel,
  slack = RETRY_SLACK,
): number {
  const retriesMs = arrivals.filter(a => a.isRetry).map(a => a.ms);
  const countIn = (times: readonly number[], endMs: number) =>
    times.filter(t => t > endMs - RETRY_WINDOW_MS && t <= endMs).length;
  let worst = -Infinity;
  for (const endMs of new Set(retriesMs)) {
    const requests = Math.max(
      ...[0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS].map(earlierMs =>
        countIn(requestsMs, endMs - earlierMs),
      ),
    );
    const allowed = RETRY_RATIO * requests + slack;
    worst = Math.max(worst, countIn(retriesMs, endMs) - allowed);
  }
  return worst;
}

describe('retry budget of all gateways together', () => {
  it('is kept by gateways that have just started', async () => {
    const model = failingDeployment(1, 0, {reportedGateways: () => 0});
    await model.runUntil(12_000);
    expect(worstExcess(model)).to.be.at.most(0);
  });

  it('is kept when a sidecar that has just started hears few gateways', async () => {
    const model = failingDeployment(2, 12_000, {
      reportedGateways: (_, nowMs) => (nowMs < 12_000 ? GATEWAYS : 1),
    });
    await model.runUntil(20_000);
    expect(worstExcess(model)).to.be.at.most(0);
  });

  it('is kept on both sides of a cut', async () => {
    const cutOff = GATEWAYS / 4;
    const model = failingDeployment(3, 12_000, {
      reportedGateways: (gateway, nowMs) => {
        if (nowMs < 12_000) return GATEWAYS;
        return gateway < cutOff ? cutOff : GATEWAYS - cutOff;
      },
    });
    await model.runUntil(25_000);
    expect(worstExcess(model)).to.be.at.most(0);
  });

  it('is kept by gateways that restart', async () => {
    const model = failingDeployment(4, 0);
    await model.runUntil(17_000);
    for (let i = 0; i < GATEWAYS; i++) model.restart(i);
    await model.runUntil(24_000);
    expect(worstExcess(model)).to.be.at.most(0);
  });

  it('is kept when retries that waited are sent together', async () => {
    const isFull = (nowMs: number) =>
      nowMs > 12_000 && Math.floor(nowMs / 1_500) % 2 === 0;
    const model = failingDeployment(5, 0, {
      report: (_, nowMs) => ({running: isFull(nowMs) ? SLOTS + 1 : 0}),
    });
    await model.runUntil(24_000);
    // Entries do not know each other's retries, so none may count on the slack.
    expect(worstExcess(model, 0)).to.be.at.most(0);
  });

  it('leaves retries to gateways that get few requests', async () => {
    const model = failingDeployment(6, 0, {requestIntervalMs: 2_500});
    await model.runUntil(60_000);
    const retries = model.arrivals.filter(a => a.isRetry).length;
    const share = retries / model.requestsMs.length;
    expect(share).to.be.at.least(RETRY_RATIO * 0.8);
  });
});
