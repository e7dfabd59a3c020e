/** Maximum number of jobs whose counts are kept. The least recently updated counts are removed first. */
const MAX_JOBS = 20_000;

/** How many of a job's tasks are done and how many are running. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** The progress of jobs as last published by the leader. For display only: no decision may depend on it. */
export class ProgressCounts {
  /** Task counts by job uid, least recently updated first. */
  readonly #counts = new Map<string, TaskCounts>();

  /** Returns the counts of a job; undefined if none were published, or if they were removed since. */
  get(uid: string): TaskCounts | undefined {
    return this.#counts.get(uid);
  }

  /** Stores published counts. Each row holds a job's uid and the numbers of its done and running tasks. */
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
