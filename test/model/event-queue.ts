/** A callback scheduled at a point in virtual time, in milliseconds. */
export interface Event {
  readonly at: number;
  /** Insertion order; breaks ties so that runs are reproducible. */
  readonly order: number;
  readonly run: () => void;
}

/** A binary heap of events, ordered by time and then by insertion. */
export class EventQueue {
  readonly #heap: Event[] = [];
  #nextOrder = 0;

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

  /** Time of the next event; infinity if the queue is empty. */
  get nextAt(): number {
    return this.#heap[0]?.at ?? Number.POSITIVE_INFINITY;
  }

  /** Removes and returns the next event. */
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
