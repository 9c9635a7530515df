/** What a program does between the start and the end of its process. */
export interface Program {
  start(): Promise<void>;
  /** Finishes running work and returns when the process may end. */
  stop(): Promise<void>;
}
