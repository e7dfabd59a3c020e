import type { Context } from "../context.js";
import type { Heartbeat } from "../messages/agents.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { FencingQueue } from "./fencing-queue.js";

/** An acknowledgement is overdue after this time or this many heartbeat intervals, whichever is longer. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 4000;
const ACKNOWLEDGEMENT_TIMEOUT_INTERVALS = 2.5;

/**
 * Tracks which agents can be reached from this node (I7). Incoming heartbeats prove nothing about the opposite
 * direction: in a one-way partition replies and commands are lost, and tasks placed on the machine would never start.
 * Only a later heartbeat that shows the effect of something sent to the agent proves that it can be reached.
 */
export class ReachabilityTracker {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #fencingQueue: FencingQueue;
  readonly #onMachineReachable: () => void;

  /**
   * @param ctx The context shared by all parts of the core.
   * @param lease This leader's lease.
   * @param fencingQueue Sends the fencing token to unreachable agents; its arrival shows in a later heartbeat.
   * @param onMachineReachable Called when an unreachable machine has become reachable again.
   */
  constructor(ctx: Context, lease: LeaderLease, fencingQueue: FencingQueue, onMachineReachable: () => void) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#fencingQueue = fencingQueue;
    this.#onMachineReachable = onMachineReachable;
  }

  /** Called when a heartbeat was answered. Starts the acknowledgement timeout if something sent is unacknowledged. */
  onReplied(machine: Machine): void {
    if (this.#expectsAcknowledgement(machine)) machine.acknowledgementAwaitedSince ??= this.#ctx.now;
  }

  /** True if the effect of a fencing token or a start that was sent has not shown in a heartbeat yet. */
  #expectsAcknowledgement(machine: Machine): boolean {
    if (machine.heartbeat && machine.heartbeat.fencingToken < this.#lease.fencingToken) return true;
    for (const { observedState, startSentUnder } of machine.placements)
      if (observedState === null && startSentUnder > 0) return true;
    return false;
  }

  /** Evaluates a new heartbeat against the previous one, which `machine.heartbeat` still holds. */
  observeHeartbeat(machine: Machine, heartbeat: Heartbeat): void {
    const { now, deployment } = this.#ctx;
    const previous = machine.heartbeat;
    if (previous && heartbeat.fencingToken > previous.fencingToken) this.markReachable(machine);
    if (machine.acknowledgementAwaitedSince === null) return;
    const timeoutMs = Math.max(
      ACKNOWLEDGEMENT_TIMEOUT_MS,
      deployment.heartbeatIntervalS * ACKNOWLEDGEMENT_TIMEOUT_INTERVALS * 1000,
    );
    if (now - machine.acknowledgementAwaitedSince > timeoutMs)
      this.markUnreachable(machine, "acknowledgement timed out");
  }

  /** Marks a machine as reachable, because something sent to its agent had an observable effect. */
  markReachable(machine: Machine): void {
    machine.acknowledgementAwaitedSince = null;
    if (machine.unreachableSince === null) return;
    machine.unreachableSince = null;
    this.#fencingQueue.remove(machine);
    this.#ctx.log("info", "machine reachable again", { machine: machine.name });
    this.#onMachineReachable();
  }

  /** Excludes a machine from scheduling, and resends the fencing token until its effect shows that it is reachable. */
  markUnreachable(machine: Machine, reason: string): void {
    if (machine.phase === "up") this.#fencingQueue.add(machine);
    if (machine.unreachableSince !== null) return;
    machine.unreachableSince = this.#ctx.now;
    this.#ctx.log("info", "machine unreachable", { machine: machine.name, reason });
  }
}
