import type { Deployment, StoreLimits } from "./deployment.js";

/** How long the lower write rate is kept to after the store has refused a call for its rate. */
const THROTTLED_MS = 60_000;
/** The share of the present write rate that is used meanwhile if no lower rate is known. */
const THROTTLED_SHARE = 0.7;

/** Conditions that a transaction may have, per change that it may have. */
const CONDITIONS_PER_CHANGE = 4;

/**
 * The limits that requests to the store keep to. The present ones may be replaced by the next ones at any moment, so
 * sizes and counts keep to the smaller of both from the start: the replacement is then no event. The write rate is the
 * present one until the store throttles.
 */
export class EffectiveStoreLimits {
  readonly #present: Omit<StoreLimits, "rps">;
  readonly #next: StoreLimits | null;
  #throttledUntil = Number.NEGATIVE_INFINITY;

  constructor({ storeWriteRps, valueBytes, txnOps, nextStoreLimits }: Deployment) {
    this.#present = { writeRps: storeWriteRps, valueBytes, txnOps };
    this.#next = nextStoreLimits ?? null;
  }

  /** The most bytes of one encoded value. */
  get valueBytes(): number {
    return Math.min(this.#present.valueBytes, this.#next?.valueBytes ?? Number.POSITIVE_INFINITY);
  }

  /** The most changes of one transaction. */
  get txnOps(): number {
    return Math.min(this.#present.txnOps, this.#next?.txnOps ?? Number.POSITIVE_INFINITY);
  }

  /** The most conditions of one transaction. */
  get txnConditions(): number {
    return this.txnOps * CONDITIONS_PER_CHANGE;
  }

  /** The most changes a second, by all nodes together, at this time. */
  writeRps(now: number): number {
    const { writeRps } = this.#present;
    if (now >= this.#throttledUntil) return writeRps;
    return Math.min(writeRps, this.#next?.writeRps ?? writeRps * THROTTLED_SHARE);
  }

  /** Lowers the write rate for a while: the store has refused a call for its rate. */
  onThrottled(now: number): void {
    this.#throttledUntil = now + THROTTLED_MS;
  }
}

/** The size of a value as the store counts it: the UTF-8 bytes of its JSON text. */
export function encodedBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
