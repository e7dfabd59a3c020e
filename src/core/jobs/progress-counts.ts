/** So many jobs' counts are kept; of the oldest none is shown. */
const KEPT = 20_000;

export interface Counts {
  readonly done: number;
  readonly running: number;
}

/** How far jobs are, as the leader last told the other nodes: for display only. */
export class ProgressCounts {
  /** Oldest first. */
  readonly #counts = new Map<string, Counts>();

  get(uid: string): Counts | undefined {
    return this.#counts.get(uid);
  }

  note(rows: readonly (readonly [string, number, number])[]): void {
    for (const [uid, done, running] of rows) {
      this.#counts.delete(uid);
      this.#counts.set(uid, { done, running });
    }
    while (this.#counts.size > KEPT) {
      const oldest = this.#counts.keys().next();
      if (oldest.done) return;
      this.#counts.delete(oldest.value);
    }
  }
}
