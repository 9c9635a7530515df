/**
 * Which sidecars hold which duties, as a gateway hears it from load reports.
 *
 * Failures: a holder stops, and another follows; datagrams of the former holder
 * arrive late. The highest token counts. A holder that has been silent is
 * forgotten, so that a lower token counts after the store's history was lost.
 */
import {Map} from 'immutable';

/** A duty as its holder announces it. */
export interface HeldDuty {
  readonly duty: 'usage' | 'scaling';
  /** Increases when the holder changes. */
  readonly token: number;
  /** True time minus the store's time; undefined if unknown. */
  readonly offsetMs?: number;
  /** The last window that was reported, by any holder. */
  readonly begunWindow?: number;
}

interface Holder extends HeldDuty {
  readonly host: string;
  readonly heardMs: number;
}

export type DutyHolders = Map<HeldDuty['duty'], Holder>;

export const noDutyHolders: DutyHolders = Map();

/**
 * Time after which a holder that is not heard of is forgotten, in milliseconds.
 * It announces itself twice a second.
 */
const HOLDER_TIMEOUT_MS = 5_000;

export function noteHolder(
  holders: DutyHolders,
  host: string,
  held: HeldDuty,
  nowMs: number,
): DutyHolders {
  const known = holders.get(held.duty);
  const isSilent = !known || nowMs - known.heardMs > HOLDER_TIMEOUT_MS;
  if (!isSilent && known.token > held.token) return holders;
  return holders.set(held.duty, {...held, host, heardMs: nowMs});
}

/** The hosts of all holders that have been heard recently, each once. */
export function holderHosts(
  holders: DutyHolders,
  nowMs: number,
): readonly string[] {
  const heard = holders
    .valueSeq()
    .filter(({heardMs}) => nowMs - heardMs <= HOLDER_TIMEOUT_MS);
  return [...new Set(heard.map(({host}) => host))];
}
