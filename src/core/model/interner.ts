/**
 * Maps names to dense indices. A freed index is given out again only two batches later: until then
 * commands that were mapped at the boundary before it was freed may still carry it.
 */
export class Interner {
  readonly #index = new Map<string, number>();
  readonly #names: (string | undefined)[] = [];
  readonly #free: number[] = [];
  /** The batch before which each index was last given out. */
  readonly #givenIn: number[] = [];
  #batch = 0;
  #retired: number[] = [];
  #retiring: number[] = [];

  intern(nameOf: string): number {
    const known = this.#index.get(nameOf);
    if (known !== undefined) {
      this.#givenIn[known] = this.#batch;
      return known;
    }
    const index = this.#free.pop() ?? this.#names.length;
    this.#names[index] = nameOf;
    this.#index.set(nameOf, index);
    this.#givenIn[index] = this.#batch;
    return index;
  }

  find(name: string): number | undefined {
    return this.#index.get(name);
  }

  name(index: number): string {
    const name = this.#names[index];
    if (name === undefined) throw new RangeError(`no name has index ${index}`);
    return name;
  }

  /**
   * Frees every index that `keep` does not hold, save those that commands of this batch may carry: what they bring is
   * known as in use only once they are worked off.
   */
  reclaim(keep: ReadonlySet<number>): void {
    for (const [name, index] of this.#index) {
      if (keep.has(index) || (this.#givenIn[index] ?? 0) >= this.#batch - 1) continue;
      this.#index.delete(name);
      this.#retiring.push(index);
    }
  }

  /** Called once at the start of each batch. */
  beginBatch(): void {
    this.#batch++;
    if (this.#retired.length === 0 && this.#retiring.length === 0) return;
    for (const index of this.#retired) {
      this.#names[index] = undefined;
      this.#free.push(index);
    }
    this.#retired = this.#retiring;
    this.#retiring = [];
  }
}

/** The name tables that the boundary and the core share. */
export class NameRegistry {
  readonly jobs = new Interner();
  readonly machines = new Interner();

  beginBatch(): void {
    this.jobs.beginBatch();
    this.machines.beginBatch();
  }
}
