export interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A binary heap of events: the earliest first, and among equals the first made. */
export class Timeline {
  readonly #heap: Event[] = [];
  #order = 0;

  add(at: number, run: () => void): void {
    const heap = this.#heap;
    heap.push({ at, order: this.#order++, run });
    let i = heap.length - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.#less(i, parent)) break;
      this.#swap(i, parent);
      i = parent;
    }
  }

  get nextAt(): number {
    return this.#heap[0]?.at ?? Number.POSITIVE_INFINITY;
  }

  next(): Event | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    heap[0] = last;
    let i = 0;
    for (;;) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2])
        if (child < heap.length && this.#less(child, least)) least = child;
      if (least === i) return first;
      this.#swap(i, least);
      i = least;
    }
  }

  #less(i: number, j: number): boolean {
    const a = this.#heap[i];
    const b = this.#heap[j];
    if (!a || !b) return false;
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  #swap(i: number, j: number): void {
    const a = this.#heap[i];
    const b = this.#heap[j];
    if (!a || !b) return;
    this.#heap[i] = b;
    this.#heap[j] = a;
  }
}
