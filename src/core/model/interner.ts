/**
 * Maps names to dense indices, which the core uses in place of names. An index that is reclaimed is reused two batches
 * later and no sooner: until then commands that were decoded before may still carry it.
 */
export class Interner {
  readonly #index = new Map<string, number>();
  readonly #names: (string | undefined)[] = [];
  readonly #free: number[] = [];
  /** The batch in which each index was last returned by `intern`. */
  readonly #internedInBatch: number[] = [];
  #batch = 0;
  /** Reclaimed in the batch before the present one: free from the next batch on. */
  #reclaimedInPreviousBatch: number[] = [];
  #reclaimedInThisBatch: number[] = [];

  /** The name of an index; throws a RangeError for an index that stands for none. */
  nameOf(index: number): string {
    const name = this.#names[index];
    if (name === undefined) throw new RangeError(`no name has index ${index}`);
    return name;
  }

  /** The index of a name, which gets one if it has none. */
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

  /** The index of a name; undefined if it has none. */
  find(name: string): number | undefined {
    return this.#index.get(name);
  }

  /**
   * Reclaims every index that is not in use, save those that commands of this batch may carry: only when the commands
   * have been processed is it known whether these are in use.
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

/** The interners that the shell, which decodes and encodes, shares with the core. */
export class NameRegistry {
  readonly jobs = new Interner();
  readonly machines = new Interner();

  /** Called once at the start of each batch of commands. */
  beginBatch(): void {
    this.jobs.beginBatch();
    this.machines.beginBatch();
  }
}
