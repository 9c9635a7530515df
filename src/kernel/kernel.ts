/**
 * The micro-kernel: services bound by name in one inversify container.
 *
 * A service looks its neighbours up by name when it is built and knows
 * nothing of how they are made; `wiring.ts` is the one place that does. The
 * kernel starts services in the order of their registration and stops them
 * in the reverse order.
 */
import 'reflect-metadata';
import {Container} from 'inversify';

export interface Service {
  start?(): Promise<void>;
  /** Finishes running work; returns by `deadline` at the latest. */
  stop?(deadline: Date): Promise<void>;
}

/** A typed name under which a service is found. */
export interface ServiceKey<T> {
  readonly id: string;
  /** Present in the type only. */
  readonly service?: T;
}

export function createServiceKey<T>(id: string): ServiceKey<T> {
  return {id};
}

export class Kernel {
  private readonly container = new Container({defaultScope: 'Singleton'});
  private readonly startOrder: string[] = [];

  /** Binds a service under a name; it is built on its first look-up. */
  bind<T>(key: ServiceKey<T>, build: (kernel: Kernel) => T): void {
    this.container
      .bind(key.id)
      .toDynamicValue(() => build(this))
      .inSingletonScope();
    this.startOrder.push(key.id);
  }

  get<T>(key: ServiceKey<T>): T {
    return this.container.get<T>(key.id);
  }

  async start(): Promise<void> {
    for (const id of this.startOrder) {
      await this.container.get<Service>(id).start?.();
    }
  }

  async stop(deadline: Date): Promise<void> {
    for (const id of [...this.startOrder].reverse()) {
      await this.container.get<Service>(id).stop?.(deadline);
    }
  }
}
