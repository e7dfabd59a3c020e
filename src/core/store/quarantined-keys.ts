import type { Context } from "../context.js";

/** What a record that the state service takes in no form waits before it is tried again, by itself. */
const SET_ASIDE_MS = 10_000;

/** Keys of records that can't be written: left out for a while, so that they hold up no other. */
export class QuarantinedKeys {
  readonly #ctx: Context;
  readonly #until = new Map<string, number>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  add(key: string): void {
    this.#until.set(key, this.#ctx.now + SET_ASIDE_MS);
  }

  has(key: string): boolean {
    const until = this.#until.get(key);
    if (until === undefined) return false;
    if (this.#ctx.now < until) return true;
    this.#until.delete(key);
    return false;
  }
}
