import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";

/** Nothing is sent before this many heartbeat intervals of the term: most agents adopt the leader by a reply. */
const GRACE_HEARTBEAT_INTERVALS = 1.5;
/** The least rate at which agents are sent the fencing token. */
const MIN_PER_SECOND = 40;
/** The longest time that one tick counts towards the rate: a node whose ticks come late has no time for more. */
const MAX_STEP_MS = 100;

/**
 * Sends the fencing token of a new leader to the agents that have not adopted it by the reply to a heartbeat, at such a
 * rate that all are reached within a lease. It is limited since a restarted controller with a large cluster has no time
 * to send every agent what its next heartbeat's reply brings anyway. Agents that can't be reached are tried from time to
 * time in the same way (I7).
 */
export class FencingQueue {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #send: (machine: Machine) => void;
  readonly #pending = new Set<Machine>();
  /**
   * The machines pending as of the last sorting, those with most placements last. It may also list machines that are no
   * longer pending.
   */
  #sorted: Machine[] = [];
  #isSorted = true;
  #tickedAt: number;
  #perSecond = MIN_PER_SECOND;
  /** How many may be sent at present: a token bucket filled at the rate. */
  #allowance = 0;

  /**
   * @param ctx What all parts of the core share.
   * @param lease This leader's lease.
   * @param send Sends the fencing token to a machine's agent.
   */
  constructor(ctx: Context, lease: LeaderLease, send: (machine: Machine) => void) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#send = send;
    this.#tickedAt = ctx.now;
  }

  /** Has the token sent to a machine once, unless it is pending already. */
  add(machine: Machine): void {
    if (this.#pending.has(machine)) return;
    this.#pending.add(machine);
    this.#isSorted = false;
  }

  /** Takes back what `add` has asked for. */
  remove(machine: Machine): void {
    this.#pending.delete(machine);
  }

  /**
   * Sends the token to the next few machines. Those with most placements come first: until their agents have adopted
   * this leader nothing is proved absent there (I3), and what is to run elsewhere waits.
   */
  tick(): void {
    const { now, deployment } = this.#ctx;
    const stepMs = Math.min(MAX_STEP_MS, now - this.#tickedAt);
    this.#tickedAt = now;
    if (this.#pending.size === 0) return;
    const graceMs = deployment.heartbeatIntervalS * GRACE_HEARTBEAT_INTERVALS * 1000;
    if (now - this.#lease.electedAt < graceMs) return;
    this.#sort();
    const maxAtOnce = Math.ceil((this.#perSecond * MAX_STEP_MS) / 1000);
    this.#allowance = Math.min(maxAtOnce, this.#allowance + (this.#perSecond * stepMs) / 1000);
    while (this.#allowance >= 1) {
      const machine = this.#sorted.pop();
      if (!machine) return;
      if (!this.#pending.delete(machine)) continue;
      this.#allowance--;
      if (machine.isCommandInFlight || now < machine.commandRetryAt || machine.address === "") continue;
      this.#send(machine);
    }
  }

  #sort(): void {
    if (this.#isSorted) return;
    this.#sorted = [...this.#pending].sort((a, b) => a.placements.size - b.placements.size);
    this.#perSecond = Math.max(MIN_PER_SECOND, this.#sorted.length / this.#ctx.deployment.leaseS);
    this.#isSorted = true;
  }
}
