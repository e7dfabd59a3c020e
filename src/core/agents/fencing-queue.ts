import type { Context } from "../context.js";
import type { LeaderLease } from "../election/leader-lease.js";
import type { Machine } from "../model/machine.js";

/** Workers report by themselves; those that have not after so many intervals are shown the token. */
const GRACE_REPORTS = 1.5;
/** Workers are shown the token at this rate at least, and so fast that all are within a lease. */
const LEAST_PER_S = 40;
/** Time that counts towards the rate at one call: a node whose ticks come late has no time for more. */
const LONGEST_STEP_MS = 100;

/**
 * Shows workers the token of a new leader, so that those adopt it that have not reported to it. The rate follows from
 * their number and the lease. Most adopt it by the answer to a report: a restarted controller with a fleet to hear has
 * no time to send all of them what their next reports bring by themselves.
 */
export class FencingQueue {
  readonly #ctx: Context;
  readonly #term: LeaderLease;
  readonly #send: (machine: Machine) => void;
  readonly #waiting = new Set<Machine>();
  /** The same as of the last sorting, those with most work last; may still hold machines that wait no more. */
  #queue: Machine[] = [];
  #isSorted = true;
  #steppedAt: number;
  #perSecond = LEAST_PER_S;
  #allowance = 0;

  constructor(ctx: Context, term: LeaderLease, send: (machine: Machine) => void) {
    this.#ctx = ctx;
    this.#term = term;
    this.#send = send;
    this.#steppedAt = ctx.now;
  }

  add(machine: Machine): void {
    if (this.#waiting.has(machine)) return;
    this.#waiting.add(machine);
    this.#isSorted = false;
  }

  remove(machine: Machine): void {
    this.#waiting.delete(machine);
  }

  /** Shows the token to the next few workers; those with work come first, as what is to run elsewhere waits for them. */
  tick(): void {
    const { now, deployment } = this.#ctx;
    const stepMs = Math.min(LONGEST_STEP_MS, now - this.#steppedAt);
    this.#steppedAt = now;
    if (this.#waiting.size === 0) return;
    if (now - this.#term.electedAt < deployment.heartbeatIntervalS * GRACE_REPORTS * 1000) return;
    this.#sort();
    const mostAtOnce = Math.ceil((this.#perSecond * LONGEST_STEP_MS) / 1000);
    this.#allowance = Math.min(mostAtOnce, this.#allowance + (this.#perSecond * stepMs) / 1000);
    while (this.#allowance >= 1) {
      const machine = this.#queue.pop();
      if (!machine) return;
      if (!this.#waiting.delete(machine)) continue;
      this.#allowance--;
      if (machine.isCommandInFlight || now < machine.commandRetryAt || machine.address === "") continue;
      this.#send(machine);
    }
  }

  #sort(): void {
    if (this.#isSorted) return;
    this.#queue = [...this.#waiting].sort((a, b) => a.placements.size - b.placements.size);
    this.#perSecond = Math.max(LEAST_PER_S, this.#queue.length / this.#ctx.deployment.leaseS);
    this.#isSorted = true;
  }
}
