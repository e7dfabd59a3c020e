/** Numbers for requests, unique within a node and, but for a chance in 2^32, across its restarts. */
export class RequestIds {
  #next: number;

  /**
   * Starts at a place drawn from the seed: a peer's reply to a heartbeat that the previous process of this node forwarded
   * must not match a request of this one.
   */
  constructor(seed: number) {
    this.#next = (seed >>> 0) * 2 ** 20 + 1;
  }

  /** The next unused number. */
  next(): number {
    return this.#next++;
  }
}

/** Requests of one kind that wait for their answer. Each is answered at most once: taking its callback removes it. */
export class PendingRequests<Respond> {
  readonly #ids: RequestIds;
  readonly #callbacks = new Map<number, Respond>();

  constructor(ids: RequestIds) {
    this.#ids = ids;
  }

  /** How many requests wait. */
  get size(): number {
    return this.#callbacks.size;
  }

  /** Registers a request's callback; the number to answer it under. */
  add(respond: Respond): number {
    const requestId = this.#ids.next();
    this.#callbacks.set(requestId, respond);
    return requestId;
  }

  /** Removes and returns a request's callback; undefined if it was answered before, or never made. */
  take(requestId: number): Respond | undefined {
    const respond = this.#callbacks.get(requestId);
    this.#callbacks.delete(requestId);
    return respond;
  }
}
