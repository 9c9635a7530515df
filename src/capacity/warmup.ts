/**
 * The concurrency bound of an endpoint: how many requests it may run at once.
 *
 * An engine that has just started collapses under full load, and a warm one
 * can turn cold without notice. The bound therefore starts at the cold bound
 * and grows only after good steps: engine steps within the target step time
 * whose batch was at least half the bound. A fast step of a nearly empty batch
 * proves nothing. The first growth takes the most steps, since an engine that
 * is still cold shows it only by collapsing. The bound falls back to the cold
 * bound at once when the engine's instance id changes, or when a step exceeds
 * the target time and takes much longer than recent ones.
 */
export interface WarmupSettings {
  readonly coldConcurrent: number;
  readonly maxConcurrent: number;
  readonly targetStepMs: number;
  /** Good steps before the bound first exceeds the cold bound. */
  readonly warmSteps?: number;
}

export interface Warmup {
  readonly bound: number;
  /** Empty until the engine has been observed. */
  readonly instance: string;
  /**
   * Good steps that count toward the next growth of the bound; a step above the
   * target resets them.
   */
  readonly goodSteps: number;
  /** Mean duration of recent steps within the target; 0 before the first. */
  readonly meanStepMs: number;
  readonly lastStepMs: number;
}

export const DEFAULT_WARM_STEPS = 64;
/** Good steps before each later growth of the bound. */
export const STEPS_PER_GROWTH = 8;
/** A slow step that takes this many times the mean shows a cold engine. */
export const STEP_TIME_JUMP_RATIO = 2;

const BOUND_GROWTH_FACTOR = 1.25;
/** Weight of the newest step in the mean duration. */
const MEAN_STEP_GAIN = 0.1;

export function coldWarmup(settings: WarmupSettings, instance = ''): Warmup {
  return {
    bound: settings.coldConcurrent,
    instance,
    goodSteps: 0,
    meanStepMs: 0,
    lastStepMs: 0,
  };
}

/** Falls back to the cold bound if the engine's instance id has changed. */
export function observeInstance(
  warmup: Warmup,
  settings: WarmupSettings,
  instance: string,
): Warmup {
  if (warmup.instance === instance) return warmup;
  return coldWarmup(settings, instance);
}

/**
 * Records that the engine completed `steps` steps, of which the last took
 * `stepMs` with `batch` requests in it. The bound grows at most once per call,
 * because none of these steps shows the step time under the larger bound.
 */
export function recordSteps(
  warmup: Warmup,
  settings: WarmupSettings,
  stepMs: number,
  batch: number,
  steps = 1,
): Warmup {
  const next = {...warmup, lastStepMs: stepMs};
  if (stepMs > settings.targetStepMs) {
    if (isStepTimeJump(warmup, stepMs)) {
      return {...coldWarmup(settings, warmup.instance), lastStepMs: stepMs};
    }
    return {...next, goodSteps: 0};
  }
  const meanStepMs =
    warmup.meanStepMs === 0
      ? stepMs
      : warmup.meanStepMs + MEAN_STEP_GAIN * (stepMs - warmup.meanStepMs);
  if (batch * 2 < warmup.bound) return {...next, meanStepMs};
  return countGoodSteps({...next, meanStepMs}, settings, steps);
}

function isStepTimeJump({meanStepMs}: Warmup, stepMs: number): boolean {
  return meanStepMs > 0 && stepMs > STEP_TIME_JUMP_RATIO * meanStepMs;
}

/** Counts steps and raises the bound once there are enough. */
function countGoodSteps(
  warmup: Warmup,
  settings: WarmupSettings,
  steps: number,
): Warmup {
  const {
    coldConcurrent,
    maxConcurrent,
    warmSteps = DEFAULT_WARM_STEPS,
  } = settings;
  const cold = warmup.bound <= coldConcurrent;
  const needed = cold ? warmSteps : STEPS_PER_GROWTH;
  const goodSteps = warmup.goodSteps + steps;
  if (goodSteps < needed) return {...warmup, goodSteps};
  const larger = Math.max(
    warmup.bound + 1,
    Math.floor(warmup.bound * BOUND_GROWTH_FACTOR),
  );
  const bound = Math.max(warmup.bound, Math.min(maxConcurrent, larger));
  return {...warmup, bound, goodSteps: 0};
}
