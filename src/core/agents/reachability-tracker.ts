import type { Context } from "../context.js";
import type { Heartbeat } from "../messages/agents.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { FencingQueue } from "./fencing-queue.js";

/** An acknowledgement is overdue after this time, and no sooner than after so many heartbeat intervals. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 4000;
const ACKNOWLEDGEMENT_TIMEOUT_INTERVALS = 2.5;

/**
 * Tells which agents can be reached from this node (I7). That heartbeats arrive proves nothing of the other direction:
 * in a one-way partition replies and commands are lost, and such a machine would be given tasks that never start. Only
 * the effect of something sent, in a later heartbeat, proves that the agent is reached.
 */
export class ReachabilityTracker {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #fencingQueue: FencingQueue;
  readonly #onMachineReachable: () => void;

  /**
   * @param ctx What all parts of the core share.
   * @param lease This leader's lease.
   * @param fencingQueue Sends unreachable agents something that has an effect once it arrives.
   * @param onMachineReachable A machine that was unreachable is schedulable again.
   */
  constructor(ctx: Context, lease: LeaderLease, fencingQueue: FencingQueue, onMachineReachable: () => void) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#fencingQueue = fencingQueue;
    this.#onMachineReachable = onMachineReachable;
  }

  /** Notes that a heartbeat was answered: from now on the effect of what was sent has to show in a heartbeat. */
  onReplied(machine: Machine): void {
    if (this.#expectsAcknowledgement(machine)) machine.acknowledgementAwaitedSince ??= this.#ctx.now;
  }

  /** True if a fencing token or a start was sent whose effect no heartbeat has shown yet. */
  #expectsAcknowledgement(machine: Machine): boolean {
    if (machine.heartbeat && machine.heartbeat.fencingToken < this.#lease.fencingToken) return true;
    for (const { observedState, startSentUnder } of machine.placements)
      if (observedState === null && startSentUnder > 0) return true;
    return false;
  }

  /** Judges a new heartbeat against the previous one, which `machine.heartbeat` still holds. */
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
      this.markUnreachable(machine, "nothing sent to it has an effect");
  }

  /** Something that was sent to the agent has had an effect. */
  markReachable(machine: Machine): void {
    machine.acknowledgementAwaitedSince = null;
    if (machine.unreachableSince === null) return;
    machine.unreachableSince = null;
    this.#fencingQueue.remove(machine);
    this.#ctx.log("info", "machine reachable again", { machine: machine.name });
    this.#onMachineReachable();
  }

  /** Takes the machine out of scheduling. Its fencing token is sent again: once that has an effect, it is reachable. */
  markUnreachable(machine: Machine, reason: string): void {
    if (machine.phase === "up") this.#fencingQueue.add(machine);
    if (machine.unreachableSince !== null) return;
    machine.unreachableSince = this.#ctx.now;
    this.#ctx.log("info", "machine unreachable", { machine: machine.name, reason });
  }
}
