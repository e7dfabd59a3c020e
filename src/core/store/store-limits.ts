import type { Deployment, StoreLimits } from "../model/deployment.js";

/** After a 429 the lower rate is kept to for so long. */
const THROTTLED_MS = 60_000;
/** Without a known lower rate, the part of the present one that is used meanwhile. */
const THROTTLED_PART = 0.7;

/** Conditions of a transaction, as a multiple of its changes. */
const CONDITIONS = 4;

/**
 * What may be asked of the state service. Its limits may fall to the next ones at any moment, so sizes and numbers of
 * operations keep to the smaller of both from the start: the fall is then no event. The rate of changes is the present
 * one until a 429 shows otherwise.
 */
export class EffectiveStoreLimits {
  readonly #now: StoreLimits;
  readonly #next: StoreLimits | null;
  #throttledUntil = Number.NEGATIVE_INFINITY;

  constructor({
    storeRps: stateRps,
    storeWriteRps: stateWriteRps,
    valueBytes,
    txnOps,
    nextStoreLimits: stateNext,
  }: Deployment) {
    this.#now = { rps: stateRps, writeRps: stateWriteRps, valueBytes, txnOps };
    this.#next = stateNext ?? null;
  }

  /** The most bytes of one value. */
  get valueBytes(): number {
    return Math.min(this.#now.valueBytes, this.#next?.valueBytes ?? Number.POSITIVE_INFINITY);
  }

  /** The most changes of one transaction. */
  get txnOps(): number {
    return Math.min(this.#now.txnOps, this.#next?.txnOps ?? Number.POSITIVE_INFINITY);
  }

  /** The most conditions of one transaction. */
  get txnConditions(): number {
    return this.txnOps * CONDITIONS;
  }

  writeRps(now: number): number {
    const { writeRps } = this.#now;
    if (now >= this.#throttledUntil) return writeRps;
    return Math.min(writeRps, this.#next?.writeRps ?? writeRps * THROTTLED_PART);
  }

  /** The state service has refused a call for its rate. */
  onThrottled(now: number): void {
    this.#throttledUntil = now + THROTTLED_MS;
  }
}

/** The bytes that a value takes in the state service. */
export function encodedBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
