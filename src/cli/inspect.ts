/**
 * Fetches the facts of processes. `status` and `rules apply` share it, so that
 * both have the same limits and mean the same by "no answer".
 */
import {Facts} from '../observe/facts';
import {InstanceRecord} from '../platform/client';
import {fetchFactsJson} from '../wire/client';
import {callEach} from './concurrentcalls';
import type {OperatorSettings} from './operator';

export type ProcessAddress = Pick<
  InstanceRecord,
  'instance' | 'zone' | 'role' | 'address'
>;

export interface ProcessStatus {
  readonly instance: string;
  readonly zone: string;
  readonly role: string;
  /** Absent if the process did not answer. */
  readonly facts?: Facts;
}

/** The facts at each address, in the same order; undefined for no answer. */
export function fetchFacts(
  settings: OperatorSettings,
  addresses: readonly string[],
): Promise<readonly (Facts | undefined)[]> {
  const ask = async (address: string) =>
    JSON.parse(await fetchFactsJson(address, settings.peers)) as Facts;
  return callEach(addresses, ask);
}

/** The status of each process, without facts if it does not answer. */
export async function fetchStatuses(
  settings: OperatorSettings,
  processes: readonly ProcessAddress[],
): Promise<readonly ProcessStatus[]> {
  const addresses = processes.map(({address}) => address);
  const found = await fetchFacts(settings, addresses);
  return processes.map(({instance, zone, role}, i) => {
    const facts = found[i];
    return {instance, zone, role, ...(facts ? {facts} : {})};
  });
}

/**
 * The latest time at which any process that answered got a heartbeat from the
 * instance itself, or undefined if none has. Being in the platform's list does
 * not count.
 */
export function lastHeardMs(
  answers: readonly ProcessStatus[],
  instance: string,
): number | undefined {
  const times = answers
    .flatMap(({facts}) => facts?.members ?? [])
    .filter(member => member.instance === instance && member.directMs > 0)
    .map(({directMs}) => directMs);
  return times.length === 0
    ? undefined
    : times.reduce((a, b) => (a > b ? a : b));
}
