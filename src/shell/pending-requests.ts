/** Generates request ids, unique within a node and, except for a chance of 1 in 2^32, across its restarts. */
export class RequestIds {
  #next: number;

  /**
   * Derives the first id from the seed: the leader's reply to a heartbeat forwarded by the previous process of this
   * node must not match a request of this one.
   */
  constructor(seed: number) {
    this.#next = (seed >>> 0) * 2 ** 20 + 1;
  }

  /** Returns the next unused id. */
  next(): number {
    return this.#next++;
  }
}

/** Unanswered requests of one kind. Each is answered at most once, as taking its callback removes it. */
export class PendingRequests<Respond> {
  readonly #ids: RequestIds;
  readonly #callbacks = new Map<number, Respond>();

  constructor(ids: RequestIds) {
    this.#ids = ids;
  }

  /** Number of unanswered requests. */
  get size(): number {
    return this.#callbacks.size;
  }

  /** Registers a request's callback and returns the request id. */
  add(respond: Respond): number {
    const requestId = this.#ids.next();
    this.#callbacks.set(requestId, respond);
    return requestId;
  }

  /** Removes and returns a request's callback; undefined if the request was already answered or never existed. */
  take(requestId: number): Respond | undefined {
    const respond = this.#callbacks.get(requestId);
    this.#callbacks.delete(requestId);
    return respond;
  }
}
