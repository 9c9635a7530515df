/**
 * Authenticates callers: finds the client account of a bearer key and the
 * caller within it.
 */
import {createHash} from 'node:crypto';
import {IncomingHttpHeaders} from 'node:http';
import {Err, Ok, Result} from 'ts-results';
import {Fault, createFault} from '../kernel/errors';
import {Account, RuleSet} from '../rules/model';

export interface Caller {
  readonly account: string;
  /** The user within the account; empty when none was named. */
  readonly user: string;
}

const BEARER = /^Bearer\s+(\S+)$/i;

/** Finds accounts by the hash of a key; built once for each rule version. */
export class KeyIndex {
  private readonly accounts = new Map<string, Account>();

  constructor(rules: RuleSet) {
    for (const account of rules.accounts.values()) {
      for (const hash of account.keyHashes) this.accounts.set(hash, account);
    }
  }

  account(key: string): Account | undefined {
    const hash = createHash('sha256').update(key).digest('hex');
    return this.accounts.get(hash);
  }
}

/**
 * Authenticates a request. `user` is the field of that name in the body; the
 * header `Boragemill-User` takes precedence over it.
 */
export function authenticate(
  index: KeyIndex,
  headers: IncomingHttpHeaders,
  user: unknown,
): Result<Caller, Fault> {
  const key = BEARER.exec(headers.authorization ?? '')?.[1];
  const account = key === undefined ? undefined : index.account(key);
  if (!account) {
    const message = 'unknown key; send "Authorization: Bearer <key>"';
    return Err(createFault('unknown_key', message));
  }
  const rawUser = headers['boragemill-user'] ?? user;
  const userName = typeof rawUser === 'string' ? rawUser : '';
  return Ok({account: account.name, user: userName});
}
