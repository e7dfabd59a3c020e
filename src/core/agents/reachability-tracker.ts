import type { Context } from "../context.js";
import type { LeaderLease } from "../election/leader-lease.js";
import type { Heartbeat } from "../messages/agents.js";
import type { Machine } from "../model/machine.js";
import type { FencingQueue } from "./fencing-queue.js";

/** What was sent is given this long to show, and at least so many report intervals. */
const OWED_MS = 4000;
const OWED_REPORTS = 2.5;

/**
 * Judges which workers hear this node. That a worker reports proves nothing of the other direction: only an effect in a
 * later report does. Answers and commands may be lost while reports arrive; such a machine would be given work for ever
 * that never starts.
 */
export class ReachabilityTracker {
  readonly #ctx: Context;
  readonly #term: LeaderLease;
  readonly #fencing: FencingQueue;
  readonly #changed: () => void;

  constructor(ctx: Context, term: LeaderLease, fencing: FencingQueue, changed: () => void) {
    this.#ctx = ctx;
    this.#term = term;
    this.#fencing = fencing;
    this.#changed = changed;
  }

  /** Notes that a report was answered: what it was told has to show in the next ones. */
  onReplied(machine: Machine): void {
    if (this.#owes(machine)) machine.acknowledgementOverdueSince ??= this.#ctx.now;
  }

  #owes(machine: Machine): boolean {
    if (machine.heartbeat && machine.heartbeat.fencingToken < this.#term.fencingToken) return true;
    for (const p of machine.placements) if (p.observedState === null && p.startSentUnder > 0) return true;
    return false;
  }

  /** Judges a new report against the one before it. */
  observeHeartbeat(machine: Machine, report: Heartbeat): void {
    const { now, deployment } = this.#ctx;
    const before = machine.heartbeat;
    if (before && report.fencingToken > before.fencingToken) this.markReachable(machine);
    if (machine.acknowledgementOverdueSince === null) return;
    const patienceMs = Math.max(OWED_MS, deployment.heartbeatIntervalS * OWED_REPORTS * 1000);
    if (now - machine.acknowledgementOverdueSince > patienceMs)
      this.markUnreachable(machine, "nothing sent to it shows");
  }

  markReachable(machine: Machine): void {
    machine.acknowledgementOverdueSince = null;
    if (machine.unreachableSince === null) return;
    machine.unreachableSince = null;
    this.#fencing.remove(machine);
    this.#ctx.log("info", "machine is reached again", { machine: machine.name });
    this.#changed();
  }

  markUnreachable(machine: Machine, why: string): void {
    // A harmless order now and then tells when it is reached again.
    if (machine.phase === "up") this.#fencing.add(machine);
    if (machine.unreachableSince !== null) return;
    machine.unreachableSince = this.#ctx.now;
    this.#ctx.log("info", "machine can't be reached", { machine: machine.name, why });
  }
}
