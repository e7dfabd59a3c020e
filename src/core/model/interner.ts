/**
 * Maps names to dense indices, which the core uses instead of names. A reclaimed index is reused no sooner than two
 * batches later, because commands that were decoded earlier may still contain it until then.
 */
export class Interner {
  readonly #index = new Map<string, number>();
  readonly #names: (string | undefined)[] = [];
  readonly #free: number[] = [];
  /** The batch in which each index was last returned by `intern`. */
  readonly #internedInBatch: number[] = [];
  #batch = 0;
  /** Indices reclaimed in the previous batch, which become free in the next batch. */
  #reclaimedInPreviousBatch: number[] = [];
  #reclaimedInThisBatch: number[] = [];

  /** Returns the name of an index; throws a RangeError if the index is not assigned. */
  nameOf(index: number): string {
    const name = this.#names[index];
    if (name === undefined) throw new RangeError(`index ${index} is not assigned to a name`);
    return name;
  }

  /** Returns the index of a name, assigning one if necessary. */
  intern(name: string): number {
    const known = this.#index.get(name);
    if (known !== undefined) {
      this.#internedInBatch[known] = this.#batch;
      return known;
    }
    const index = this.#free.pop() ?? this.#names.length;
    this.#names[index] = name;
    this.#index.set(name, index);
    this.#internedInBatch[index] = this.#batch;
    return index;
  }

  /** Returns the index of a name, or undefined if it has none. */
  find(name: string): number | undefined {
    return this.#index.get(name);
  }

  /**
   * Reclaims every index that is not in use, except those that commands of this batch may contain: whether these are in
   * use is known only after the commands have been processed.
   */
  reclaim(inUse: ReadonlySet<number>): void {
    for (const [name, index] of this.#index) {
      if (inUse.has(index) || (this.#internedInBatch[index] ?? 0) >= this.#batch - 1) continue;
      this.#index.delete(name);
      this.#reclaimedInThisBatch.push(index);
    }
  }

  /** Called once at the start of each batch of commands. */
  beginBatch(): void {
    this.#batch++;
    if (this.#reclaimedInPreviousBatch.length === 0 && this.#reclaimedInThisBatch.length === 0) return;
    for (const index of this.#reclaimedInPreviousBatch) {
      this.#names[index] = undefined;
      this.#free.push(index);
    }
    this.#reclaimedInPreviousBatch = this.#reclaimedInThisBatch;
    this.#reclaimedInThisBatch = [];
  }
}

/** The interners shared by the core and the shell, which decodes commands and encodes effects. */
export class NameRegistry {
  readonly jobs = new Interner();
  readonly machines = new Interner();

  /** Called once at the start of each batch of commands. */
  beginBatch(): void {
    this.jobs.beginBatch();
    this.machines.beginBatch();
  }
}
