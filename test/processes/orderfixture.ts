/**
 * Test fixture: a deployment with an order application, requests that place
 * orders, and the operator's list of unresolved orders.
 */
import {listUnresolvedOrders as unresolved} from '../../src/cli/orders';
import {createPlatformClient} from '../../src/platform/client';
import {readEvents} from '../../src/wire/client';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {BinaryProcess, waitUntil} from '../../standins/binaryprocess';
import {ServiceStandin} from '../../standins/service';

const KEY = 'key-of-hydrotherm';
const RULES = [
  `account hydrotherm weight=1 key=${keyHash(KEY)}  # Jana`,
  'service orders non-idempotent=POST:/orders  # Peter',
].join('\n');
const HEADERS = {
  authorization: `Bearer ${KEY}`,
  'content-type': 'application/json',
};
const PLATFORM_TIMEOUT_MS = 2_000;
/** With this, `orders unresolved` lists rows of any age. */
const ANY_AGE_S = -1;

export interface OrderResult {
  readonly status: number;
  readonly run: string | null;
}

export class OrderFixture {
  readonly deployment = new Deployment();
  readonly service = new ServiceStandin();
  private serviceUrl = '';

  async start(): Promise<void> {
    await this.deployment.start(RULES);
    this.serviceUrl = await this.service.start();
  }

  async stop(): Promise<void> {
    await this.deployment.stop();
    this.service.stop();
  }

  addSidecar(instance: string, zone: string): Promise<BinaryProcess> {
    const url = this.serviceUrl;
    const name = 'orders';
    const choice = {instance, zone, kind: 'service' as const, name, url};
    return this.deployment.addSidecar(choice);
  }

  addEntry(instance: string, zone: string): Promise<EntryProcess> {
    return this.deployment.addEntry(instance, zone);
  }

  /** Whether an entry has asked a sidecar for the outcome of an attempt. */
  async hasAsked({address}: EntryProcess): Promise<boolean> {
    const events = await readEvents(address, this.deployment.peers, '');
    return events.some(({name}) => name === 'ask');
  }

  /** Waits until each entry can reach the order application. */
  async waitUntilReachable(...entries: readonly EntryProcess[]): Promise<void> {
    const get = {headers: HEADERS};
    for (const {url} of entries) {
      await this.deployment.waitUntilReachable(
        url,
        '/services/orders/stock/a',
        get,
      );
    }
  }

  /** Places an order with its reference as the idempotency key. */
  postOrder({url}: EntryProcess, reference: string): Promise<Response> {
    return fetch(`${url}/services/orders/orders`, {
      method: 'POST',
      headers: {...HEADERS, 'idempotency-key': reference},
      body: JSON.stringify({reference}),
    });
  }

  async placeOrder(
    entry: EntryProcess,
    reference: string,
  ): Promise<OrderResult> {
    const answer = await this.postOrder(entry, reference);
    await answer.arrayBuffer();
    const run = answer.headers.get('boragemill-run');
    return {status: answer.status, run};
  }

  /** Places an order and waits until the application is called with it. */
  async startOrder(
    entry: EntryProcess,
    reference: string,
  ): Promise<{readonly answer: Promise<OrderResult>}> {
    const {calls} = this.service;
    let answer: Promise<OrderResult>;
    let over = false;
    const place = () => {
      over = false;
      answer = this.placeOrder(entry, reference);
      const end = () => {
        over = true;
      };
      answer.then(end, end);
    };
    place();
    const hasStarted = () => {
      if (this.service.calls > calls) return true;
      // Under load, a sidecar may not answer for a moment.
      if (over) place();
      return false;
    };
    await waitUntil(hasStarted, 'the order to be started');
    return {answer: answer!};
  }

  /**
   * Repeats a key that was started before until it isn't refused with 503,
   * which it is while no endpoint is free.
   */
  async repeatUntilAccepted(
    entry: EntryProcess,
    reference: string,
  ): Promise<OrderResult> {
    let result = await this.placeOrder(entry, reference);
    const isAccepted = async () => {
      if (result.status === 503)
        result = await this.placeOrder(entry, reference);
      return result.status !== 503;
    };
    await waitUntil(isAccepted, `the repeat of ${reference} to be accepted`);
    return result;
  }

  /** Repeats the key until it is answered with 201. */
  async repeatUntilAnswered(
    entry: EntryProcess,
    reference: string,
  ): Promise<Response> {
    let answer = await this.postOrder(entry, reference);
    const isAnswered = async () => {
      if (answer.status === 201) return true;
      answer = await this.postOrder(entry, reference);
      return answer.status === 201;
    };
    await waitUntil(isAnswered, `order ${reference} to be answered`);
    return answer;
  }

  /** Keys that `orders unresolved` lists. */
  async unresolvedKeys(): Promise<readonly string[]> {
    const url = this.deployment.platformUrl;
    const platform = createPlatformClient({
      url,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    const lines: string[] = [];
    await unresolved(
      platform,
      {json: true, olderThan: ANY_AGE_S},
      {now: new Date(), write: line => lines.push(line)},
    );
    const listed = JSON.parse(lines.join('\n')) as {key: string}[];
    return listed.map(({key}) => key);
  }

  /** Runs `action` once a claim row is written, before the reply is sent. */
  onClaimWrite(action: () => void): void {
    const {rows} = this.deployment.platform;
    const set = rows.set.bind(rows);
    rows.set = (key, stored) => {
      set(key, stored);
      if (key.startsWith('claim/')) {
        rows.set = set;
        action();
      }
      return rows;
    };
  }

  executions(reference: string): number {
    return this.service.executions.get(reference) ?? 0;
  }
}
