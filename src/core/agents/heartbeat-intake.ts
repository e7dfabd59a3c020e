import type { Context } from "../context.js";
import type { Election } from "../election/election.js";
import type { Heartbeat } from "../messages/agents.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { FencingQueue } from "./fencing-queue.js";
import type { ReachabilityTracker } from "./reachability-tracker.js";
import type { Reconciler } from "./reconciler.js";

/** Whether a heartbeat arrived on its own or in the reply to a direct command batch. */
export type HeartbeatSource = "heartbeat" | "commandReply";

/** The dependencies and the callback of {@link HeartbeatIntake}. */
export interface HeartbeatIntakeDependencies {
  readonly ctx: Context;
  readonly election: Election;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly fencingQueue: FencingQueue;
  readonly reachability: ReachabilityTracker;
  readonly reconciler: Reconciler;
  /** A machine may have become schedulable, or is about to be reclaimed. */
  onCapacityChanged(): void;
}

/** Accepts heartbeats in order of incarnation and sequence number (I4), and updates the state of their machines. */
export class HeartbeatIntake {
  readonly #ctx: Context;
  readonly #election: Election;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  readonly #fencingQueue: FencingQueue;
  readonly #reachability: ReachabilityTracker;
  readonly #reconciler: Reconciler;
  readonly #onCapacityChanged: () => void;

  constructor(dependencies: HeartbeatIntakeDependencies) {
    this.#ctx = dependencies.ctx;
    this.#election = dependencies.election;
    this.#lease = dependencies.lease;
    this.#cluster = dependencies.cluster;
    this.#fencingQueue = dependencies.fencingQueue;
    this.#reachability = dependencies.reachability;
    this.#reconciler = dependencies.reconciler;
    this.#onCapacityChanged = () => dependencies.onCapacityChanged();
  }

  /**
   * Processes a heartbeat. Its content is applied only if it is newer than the last one applied (I4).
   *
   * @returns The machine; null if this node no longer leads or the machine has been terminated.
   */
  accept(heartbeat: Heartbeat, source: HeartbeatSource): Machine | null {
    this.#election.observeToken(heartbeat.fencingToken);
    if (this.#election.lease !== this.#lease) return null;
    const machine = this.#machineOf(heartbeat);
    if (!machine || !isNewer(heartbeat, machine)) return machine;
    this.#markUp(machine);
    this.#recordIncarnation(machine, heartbeat);
    this.#reachability.observeHeartbeat(machine, heartbeat);
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.fencingToken = heartbeat.fencingToken;
    if (source === "heartbeat") this.#recordHeartbeatTime(machine);
    this.#recordFencing(machine, heartbeat);
    this.#recordInterruptionNotice(machine, heartbeat);
    this.#storeAndReconcile(machine, heartbeat);
    return machine;
  }

  /** Returns the heartbeat's machine; null if it is terminated, as a delayed heartbeat must not add it again. */
  #machineOf(heartbeat: Heartbeat): Machine | null {
    const name = this.#ctx.names.machines.nameOf(heartbeat.machine);
    const isKnown = this.#cluster.machines.has(heartbeat.machine);
    if (!isKnown && this.#cluster.terminatedMachines.has(name)) return null;
    return this.#cluster.ensureMachine(name, heartbeat, this.#ctx.now);
  }

  #markUp(machine: Machine): void {
    if (machine.phase !== "booting") return;
    machine.phase = "up";
    this.#ctx.log("debug", "machine up", {
      machine: machine.name,
      type: machine.typeName,
      zone: machine.zone,
    });
    this.#onCapacityChanged();
  }

  /**
   * A new incarnation means that the agent's lease expired. If its heartbeats were answered, the replies do not reach
   * the agent (I7).
   */
  #recordIncarnation(machine: Machine, heartbeat: Heartbeat): void {
    const { now, deployment } = this.#ctx;
    if (heartbeat.incarnation <= machine.incarnation) return;
    machine.incarnationSince = now;
    const wasAnswered = now - machine.repliedAt < deployment.leaseS * 1000;
    if (machine.incarnation > 0 && wasAnswered)
      this.#reachability.markUnreachable(machine, "agent lease expired although heartbeats were answered");
  }

  /**
   * Not called for replies to direct commands: an agent that cannot reach any controller must not get tasks, and its
   * lease must expire (I7).
   */
  #recordHeartbeatTime(machine: Machine): void {
    machine.heartbeatAt = this.#ctx.now;
    if (!machine.isLeaseExpired) return;
    machine.isLeaseExpired = false;
    this.#onCapacityChanged();
  }

  /** Only an agent that has seen a fencing token of this term refuses the commands of all earlier leaders (I4). */
  #recordFencing(machine: Machine, heartbeat: Heartbeat): void {
    if (machine.fencedAt !== null || heartbeat.fencingToken < this.#lease.firstFencingToken) return;
    machine.fencedAt = this.#ctx.now;
    this.#fencingQueue.remove(machine);
    this.#onCapacityChanged();
  }

  #recordInterruptionNotice(machine: Machine, { interruptionNoticeS }: Heartbeat): void {
    if (interruptionNoticeS === null) {
      this.#withdrawInterruptionNotice(machine);
      return;
    }
    if (machine.reclaimDueAt === null) {
      this.#ctx.log("info", "interruption notice received", {
        machine: machine.name,
        in_s: interruptionNoticeS,
      });
      this.#onCapacityChanged();
    }
    machine.reclaimDueAt = this.#ctx.now + interruptionNoticeS * 1000;
  }

  /** A newer heartbeat without the notice shows that the machine is not about to be reclaimed any more. */
  #withdrawInterruptionNotice(machine: Machine): void {
    if (machine.reclaimDueAt === null) return;
    machine.reclaimDueAt = null;
    this.#ctx.log("info", "interruption notice withdrawn", { machine: machine.name });
    this.#onCapacityChanged();
  }

  /** In a large cluster most heartbeats equal the previous one; for these only the comparison is done. */
  #storeAndReconcile(machine: Machine, heartbeat: Heartbeat): void {
    const { heartbeat: previous } = machine;
    machine.heartbeat = heartbeat;
    if (!this.#reconciler.areRecordsLoaded || (previous && hasSameContent(previous, heartbeat))) return;
    this.#reconciler.reconcile(machine);
  }
}

function isNewer({ incarnation, sequence }: Heartbeat, machine: Machine): boolean {
  return (
    incarnation > machine.incarnation || (incarnation === machine.incarnation && sequence > machine.sequence)
  );
}

/** True if all fields that reconciliation depends on are equal. */
function hasSameContent(previous: Heartbeat, { incarnation, fencingToken, tasks }: Heartbeat): boolean {
  if (
    previous.incarnation !== incarnation ||
    previous.fencingToken !== fencingToken ||
    previous.tasks.length !== tasks.length
  )
    return false;
  return tasks.every((reported, i) => {
    const other = previous.tasks[i];
    return (
      other !== undefined &&
      other.job === reported.job &&
      other.task === reported.task &&
      other.attempt === reported.attempt &&
      other.state === reported.state
    );
  });
}
