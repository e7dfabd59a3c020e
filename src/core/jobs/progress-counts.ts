/** Beyond this many jobs the counts that were updated longest ago are dropped. */
const MAX_JOBS = 20_000;

/** How many tasks of a job are done and how many are running. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** The progress of jobs as the leader last published it. For display only: no decision may depend on it. */
export class ProgressCounts {
  /** By uid, least recently updated first. */
  readonly #counts = new Map<string, TaskCounts>();

  /** The counts of a job; undefined if none were published, or not lately. */
  get(uid: string): TaskCounts | undefined {
    return this.#counts.get(uid);
  }

  /** Stores published counts; each row is a job's uid with its done and its running tasks. */
  update(rows: readonly (readonly [uid: string, done: number, running: number])[]): void {
    for (const [uid, done, running] of rows) {
      this.#counts.delete(uid);
      this.#counts.set(uid, { done, running });
    }
    while (this.#counts.size > MAX_JOBS) {
      const oldest = this.#counts.keys().next();
      if (oldest.done) return;
      this.#counts.delete(oldest.value);
    }
  }
}
