/**
 * The micro-kernel: services bound by key in one inversify container.
 *
 * A service looks up its dependencies by key when it is built and does not
 * know how they are built; only `wiring.ts` does. The kernel starts services
 * in the order of their registration and stops them in the reverse order.
 */
import 'reflect-metadata';
import {Container} from 'inversify';

export interface Service {
  start?(): Promise<void>;
  /** Finishes running work and returns by `deadline` at the latest. */
  stop?(deadline: Date): Promise<void>;
}

/** A typed key under which a service is bound and looked up. */
export interface ServiceKey<T> {
  readonly id: string;
  /** Exists in the type only, to carry `T`; never set. */
  readonly service?: T;
}

export function createServiceKey<T>(id: string): ServiceKey<T> {
  return {id};
}

export class Kernel {
  private readonly container = new Container({defaultScope: 'Singleton'});
  private readonly startOrder: string[] = [];

  /** Binds a service under a key; it is built on its first look-up. */
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
