/** Something that happens at a moment of virtual time, in milliseconds. */
export interface Event {
  readonly at: number;
  /** Rises with every event made: breaks ties, so that a run repeats exactly. */
  readonly order: number;
  readonly run: () => void;
}

/** A binary heap of events: the earliest first, and among those of one moment the first made. */
export class EventQueue {
  readonly #heap: Event[] = [];
  #nextOrder = 0;

  /** Adds an event. */
  add(at: number, run: () => void): void {
    const heap = this.#heap;
    heap.push({ at, order: this.#nextOrder++, run });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) break;
      this.#swap(index, parent);
      index = parent;
    }
  }

  /** When the next event happens; infinity if there is none. */
  get nextAt(): number {
    return this.#heap[0]?.at ?? Number.POSITIVE_INFINITY;
  }

  /** Takes the next event out. */
  next(): Event | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    for (;;) {
      let earliest = index;
      for (const child of [2 * index + 1, 2 * index + 2])
        if (child < heap.length && this.#isBefore(child, earliest)) earliest = child;
      if (earliest === index) return first;
      this.#swap(index, earliest);
      index = earliest;
    }
  }

  #isBefore(index: number, otherIndex: number): boolean {
    const event = this.#heap[index];
    const other = this.#heap[otherIndex];
    if (!event || !other) return false;
    return event.at < other.at || (event.at === other.at && event.order < other.order);
  }

  #swap(index: number, otherIndex: number): void {
    const event = this.#heap[index];
    const other = this.#heap[otherIndex];
    if (!event || !other) return;
    this.#heap[index] = other;
    this.#heap[otherIndex] = event;
  }
}
