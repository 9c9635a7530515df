/**
 * Decides which ranks a coordinator asks for their state, and which for what
 * they have chosen.
 *
 * Every rank of a small group is asked each time. In a large one that would fill
 * the coordinator's link and its part of a core, so it asks no more than what
 * the next decision rests on: while a change is in progress, the ranks that have
 * not confirmed yet; otherwise a fixed part of the ranks for their choices, since
 * all ranks' requests draw on the same demand, and the rest in turn. The part is
 * fixed, because a rank's choices reach back to when it was last asked.
 */
import {ChangeState, holdRankOf} from './mapchangestate';

/**
 * Ranks that are asked each time. Choices of this many ranks are enough for an
 * estimate, and with the largest groups they take a quarter of a slow link.
 */
const MAX_RANKS_EACH_TIME = 24;
/** Polls within which each of the other ranks is asked once. */
const POLLS_PER_TURN = 4;

/** Ranks that are asked for their choices, evenly spaced over the group. */
export function ranksWithChoices(size: number): ReadonlySet<number> {
  const step = Math.ceil(size / MAX_RANKS_EACH_TIME);
  return new Set(rankRange(size).filter(rank => rank % step === 0));
}

/**
 * Ranks whose report shows an older map, a switch that is due, a hold or a broken
 * group. It is out of date or needs action, and no change can begin before the
 * next one.
 */
export function doubtfulRanks({
  size,
  reports,
}: ChangeState): ReadonlySet<number> {
  const newest = Math.max(...[...reports.values()].map(r => r.map));
  const doubtful = rankRange(size).filter(rank => {
    const report = reports.get(rank);
    if (!report || report.map !== newest || !report.open) return true;
    return report.held !== undefined || report.armed !== undefined;
  });
  return new Set(doubtful);
}

/**
 * Ranks to ask for a reading of the demand while no change is in progress or while
 * the ranks copy. `turn` counts the readings.
 */
export function ranksOfTurn(
  state: ChangeState,
  turn: number,
): ReadonlySet<number> {
  const {ownRank, size} = state;
  const withChoices = ranksWithChoices(size);
  const others = rankRange(size).filter(r => !withChoices.has(r));
  const inTurn = others.filter(
    (_, i) => i % POLLS_PER_TURN === turn % POLLS_PER_TURN,
  );
  return new Set([
    ...withChoices,
    ownRank,
    holdRankOf(ownRank, size),
    ...inTurn,
    ...doubtfulRanks(state),
  ]);
}

/** Ranks to ask while a change is in progress and no copies are awaited. */
export function ranksOfChange(state: ChangeState): ReadonlySet<number> {
  const {ownRank, size, reports, phase, version} = state;
  switch (phase.kind) {
    case 'preparing': {
      const unprepared = rankRange(size).filter(rank => {
        const report = reports.get(rank);
        return report?.prepared !== version || report.held !== undefined;
      });
      // The pass of the switch follows from the latest pass, which any rank
      // reports.
      return new Set([...unprepared, ownRank]);
    }
    case 'arming':
      return new Set(
        [...phase.silentRanks].filter(rank => !phase.armedRanks.has(rank)),
      );
    case 'releasing':
      return phase.heldRanks;
    case 'clearing': {
      const uncleared = rankRange(size).filter(
        rank => !phase.clearedRanks.has(rank) || !phase.reportedRanks.has(rank),
      );
      const held = [...phase.heldRanks, holdRankOf(ownRank, size)];
      return new Set([...uncleared, ...held, ownRank]);
    }
    case 'holding':
    case 'idle':
      return new Set();
  }
}

function rankRange(size: number): readonly number[] {
  return Array.from({length: size}, (_, rank) => rank);
}
