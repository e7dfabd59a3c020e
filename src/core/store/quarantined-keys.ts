import type { Context } from "../context.js";

/** How long to wait before retrying a record that the store rejected in a transaction of its own. */
const QUARANTINE_MS = 10_000;

/** Keys of records rejected by the store. They are left out of transactions for a while, so as not to block others. */
export class QuarantinedKeys {
  readonly #ctx: Context;
  readonly #untilByKey = new Map<string, number>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /** Starts the quarantine of a key. */
  add(key: string): void {
    this.#untilByKey.set(key, this.#ctx.now + QUARANTINE_MS);
  }

  /** True if the key is currently quarantined. */
  has(key: string): boolean {
    const until = this.#untilByKey.get(key);
    if (until === undefined) return false;
    if (this.#ctx.now < until) return true;
    this.#untilByKey.delete(key);
    return false;
  }
}
