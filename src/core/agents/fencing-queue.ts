import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";

/** Sending starts this many heartbeat intervals into the term, when heartbeat replies have reached most agents. */
const GRACE_HEARTBEAT_INTERVALS = 1.5;
/** The minimum rate at which the fencing token is sent to agents. */
const MIN_SENDS_PER_S = 40;
/** The longest interval credited to one tick: a node whose ticks are late has no capacity to catch up. */
const MAX_STEP_MS = 100;

/**
 * Sends a new leader's fencing token to the agents that have not adopted it through a heartbeat reply. The rate is high
 * enough to send to all of them within one agent lease. It is limited because a restarted controller of a large cluster
 * has no time to send each agent what its next heartbeat reply carries anyway. Unreachable agents are retried through
 * the same queue (I7).
 */
export class FencingQueue {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #send: (machine: Machine) => void;
  readonly #pending = new Set<Machine>();
  /**
   * The machines that were pending at the last sort, in ascending order of placements. May contain machines that are no
   * longer pending.
   */
  #sorted: Machine[] = [];
  #isSorted = true;
  #tickedAt: number;
  #sendsPerS = MIN_SENDS_PER_S;
  /** The number of sends currently allowed: the level of a token bucket that is filled at `#sendsPerS`. */
  #allowance = 0;

  /**
   * @param ctx The context shared by all parts of the core.
   * @param lease This leader's lease.
   * @param send Sends the fencing token to a machine's agent.
   */
  constructor(ctx: Context, lease: LeaderLease, send: (machine: Machine) => void) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#send = send;
    this.#tickedAt = ctx.now;
  }

  /** Queues a machine for one send of the fencing token; no effect if it is already pending. */
  add(machine: Machine): void {
    if (this.#pending.has(machine)) return;
    this.#pending.add(machine);
    this.#isSorted = false;
  }

  /** Removes a machine from the queue. */
  remove(machine: Machine): void {
    this.#pending.delete(machine);
  }

  /**
   * Sends the fencing token to the next few machines, those with the most placements first: until an agent has adopted
   * this leader, none of its tasks can be proved absent (I3), so they cannot be restarted elsewhere.
   */
  tick(): void {
    const { now, deployment } = this.#ctx;
    const stepMs = Math.min(MAX_STEP_MS, now - this.#tickedAt);
    this.#tickedAt = now;
    if (this.#pending.size === 0) return;
    const graceMs = deployment.heartbeatIntervalS * GRACE_HEARTBEAT_INTERVALS * 1000;
    if (now - this.#lease.electedAt < graceMs) return;
    this.#sort();
    const maxAtOnce = Math.ceil((this.#sendsPerS * MAX_STEP_MS) / 1000);
    this.#allowance = Math.min(maxAtOnce, this.#allowance + (this.#sendsPerS * stepMs) / 1000);
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
    this.#sendsPerS = Math.max(MIN_SENDS_PER_S, this.#sorted.length / this.#ctx.deployment.leaseS);
    this.#isSorted = true;
  }
}
