import type { Context } from "../context.js";
import type { Election } from "../election/election.js";
import type { Heartbeat } from "../messages/agents.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { FencingQueue } from "./fencing-queue.js";
import type { ReachabilityTracker } from "./reachability-tracker.js";
import type { Reconciler } from "./reconciler.js";

/** How a status came in: by itself, or in the reply to commands that were sent directly. */
export type HeartbeatSource = "heartbeat" | "commandReply";

/** What the intake works with. */
export interface HeartbeatIntakeDependencies {
  readonly ctx: Context;
  readonly election: Election;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly fencingQueue: FencingQueue;
  readonly reachability: ReachabilityTracker;
  readonly reconciler: Reconciler;
  /** A machine has become schedulable, or is about to be reclaimed. */
  onCapacityChanged(): void;
}

/** Accepts heartbeats in the order of incarnation and sequence number (I4), and keeps the machines' state by them. */
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
   * Takes in a heartbeat; what it says counts only if it is newer than what is known (I4).
   *
   * @returns The machine; null if this node no longer leads or the machine has been terminated.
   */
  accept(heartbeat: Heartbeat, source: HeartbeatSource): Machine | null {
    this.#election.observeToken(heartbeat.fencingToken);
    if (this.#election.lease !== this.#lease) return null;
    const machine = this.#machineOf(heartbeat);
    if (!machine || !isNewer(heartbeat, machine)) return machine;
    this.#noteUp(machine);
    this.#noteIncarnation(machine, heartbeat);
    this.#reachability.observeHeartbeat(machine, heartbeat);
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.fencingToken = heartbeat.fencingToken;
    if (source === "heartbeat") this.#noteContact(machine);
    this.#noteFencing(machine, heartbeat);
    this.#noteInterruptionNotice(machine, heartbeat);
    this.#storeAndReconcile(machine, heartbeat);
    return machine;
  }

  /** The machine that reports; null where a late copy of a heartbeat must not bring back one that is terminated. */
  #machineOf(heartbeat: Heartbeat): Machine | null {
    const name = this.#ctx.names.machines.nameOf(heartbeat.machine);
    const isKnown = this.#cluster.machines.has(heartbeat.machine);
    if (!isKnown && this.#cluster.terminatedMachines.has(name)) return null;
    return this.#cluster.ensureMachine(name, heartbeat, this.#ctx.now);
  }

  #noteUp(machine: Machine): void {
    if (machine.phase !== "booting") return;
    machine.phase = "up";
    this.#ctx.log("debug", "machine up", {
      machine: machine.name,
      type: machine.typeName,
      zone: machine.zone,
    });
    this.#onCapacityChanged();
  }

  /** A new incarnation means that the agent's lease expired: although it was answered, if replies don't reach it (I7). */
  #noteIncarnation(machine: Machine, heartbeat: Heartbeat): void {
    const { now, deployment } = this.#ctx;
    if (heartbeat.incarnation <= machine.incarnation) return;
    machine.incarnationSince = now;
    const wasAnswered = now - machine.repliedAt < deployment.leaseS * 1000;
    if (machine.incarnation > 0 && wasAnswered)
      this.#reachability.markUnreachable(machine, "lease expired although heartbeats were answered");
  }

  /** The reply to a direct command is no contact: an agent that reaches no controller gets no work, and expires (I7). */
  #noteContact(machine: Machine): void {
    machine.heartbeatAt = this.#ctx.now;
    if (!machine.isLeaseExpired) return;
    machine.isLeaseExpired = false;
    this.#onCapacityChanged();
  }

  /** Only an agent that carries a fencing token of this term refuses the commands of all earlier leaders (I4). */
  #noteFencing(machine: Machine, heartbeat: Heartbeat): void {
    if (machine.fencedAt !== null || heartbeat.fencingToken < this.#lease.firstFencingToken) return;
    machine.fencedAt = this.#ctx.now;
    this.#fencingQueue.remove(machine);
    this.#onCapacityChanged();
  }

  #noteInterruptionNotice(machine: Machine, { interruptionNoticeS }: Heartbeat): void {
    if (interruptionNoticeS === null) return;
    if (machine.reclaimDueAt === null) {
      this.#ctx.log("info", "machine will be reclaimed", {
        machine: machine.name,
        in_s: interruptionNoticeS,
      });
      this.#onCapacityChanged();
    }
    machine.reclaimDueAt = this.#ctx.now + interruptionNoticeS * 1000;
  }

  /** Most heartbeats of a large cluster report what the last one did: they cost no more than the comparison. */
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

/** True if nothing differs that reconciliation depends on. */
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
