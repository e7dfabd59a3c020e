import type { Deployment, StoreLimits } from "./deployment.js";

/** How long the lower write rate applies after the store has throttled a call. */
const THROTTLED_MS = 60_000;
/** The fraction of the current write rate to use while throttled if no next write rate is known. */
const THROTTLED_SHARE = 0.7;

/** Ratio of the maximum number of conditions in a transaction to its maximum number of changes. */
const CONDITIONS_PER_CHANGE = 4;

/**
 * The limits applied to requests to the store. The current limits may be replaced by the next ones at any time, so
 * sizes and counts use the smaller of both from the start, and the replacement needs no handling. The current write
 * rate applies until the store throttles.
 */
export class EffectiveStoreLimits {
  readonly #current: Omit<StoreLimits, "rps">;
  readonly #next: StoreLimits | null;
  #throttledUntil = Number.NEGATIVE_INFINITY;

  constructor({ storeWriteRps, valueBytes, txnOps, nextStoreLimits }: Deployment) {
    this.#current = { writeRps: storeWriteRps, valueBytes, txnOps };
    this.#next = nextStoreLimits ?? null;
  }

  /** Maximum size of an encoded value, in bytes. */
  get valueBytes(): number {
    return Math.min(this.#current.valueBytes, this.#next?.valueBytes ?? Number.POSITIVE_INFINITY);
  }

  /** Maximum number of changes in a transaction. */
  get txnOps(): number {
    return Math.min(this.#current.txnOps, this.#next?.txnOps ?? Number.POSITIVE_INFINITY);
  }

  /** Maximum number of conditions in a transaction. */
  get txnConditions(): number {
    return this.txnOps * CONDITIONS_PER_CHANGE;
  }

  /** Returns the maximum number of changes per second at this time, for all nodes together. */
  writeRps(now: number): number {
    const { writeRps } = this.#current;
    if (now >= this.#throttledUntil) return writeRps;
    return Math.min(writeRps, this.#next?.writeRps ?? writeRps * THROTTLED_SHARE);
  }

  /** Lowers the write rate for a while after the store has throttled a call. */
  onThrottled(now: number): void {
    this.#throttledUntil = now + THROTTLED_MS;
  }
}

/** Returns the size of a value as counted by the store: the UTF-8 length of its JSON text in bytes. */
export function encodedBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
