import type { Context } from "../context.js";

/** The leader's share of the store's write rate; the rest is for submissions and cancellations on all nodes. */
const LEADER_WRITE_SHARE = 0.8;

/**
 * Token bucket for the leader's writes; each change in a transaction costs one token. It refills at the leader's share
 * of the store's current write rate and holds at most one second's worth of tokens, which bounds bursts.
 */
export class WriteBudget {
  readonly #ctx: Context;
  #tokens: number;
  #refilledAt: number;

  constructor(ctx: Context) {
    this.#ctx = ctx;
    this.#tokens = ctx.limits.writeRps(ctx.now) * LEADER_WRITE_SHARE;
    this.#refilledAt = ctx.now;
  }

  /** Refills the bucket and returns how many changes may be sent now. */
  available(): number {
    const { limits, now } = this.#ctx;
    const ratePerS = limits.writeRps(now) * LEADER_WRITE_SHARE;
    this.#tokens = Math.min(ratePerS, this.#tokens + ((now - this.#refilledAt) * ratePerS) / 1000);
    this.#refilledAt = now;
    return Math.floor(this.#tokens);
  }

  /** Consumes the tokens for a transaction with this many changes. */
  spend(changes: number): void {
    this.#tokens -= changes;
  }
}
