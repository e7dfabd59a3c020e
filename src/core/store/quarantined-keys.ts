import type { Context } from "../context.js";

/** How long a record that the store refuses by itself is left out before it is tried again. */
const QUARANTINE_MS = 10_000;

/** Keys of records that the store refuses: left out of transactions for a while, so that they block no other record. */
export class QuarantinedKeys {
  readonly #ctx: Context;
  readonly #untilByKey = new Map<string, number>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /** Quarantines a key from now on. */
  add(key: string): void {
    this.#untilByKey.set(key, this.#ctx.now + QUARANTINE_MS);
  }

  /** True while a key is quarantined. */
  has(key: string): boolean {
    const until = this.#untilByKey.get(key);
    if (until === undefined) return false;
    if (this.#ctx.now < until) return true;
    this.#untilByKey.delete(key);
    return false;
  }
}
