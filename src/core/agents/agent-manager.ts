import type { Context } from "../context.js";
import type { Election } from "../election/election.js";
import type { Heartbeat, HeartbeatReply } from "../messages/agents.js";
import { fencingTokenOf } from "../model/attempt-number.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { ExitReason } from "../model/job-spec.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { NO_RESOURCES } from "../model/resources.js";
import type { RecordWriter } from "../store/record-writer.js";
import { leaseExpiresAt } from "./agent-lease.js";
import { CommandPlanner } from "./command-planner.js";
import { CommandSender } from "./command-sender.js";
import { FencingQueue } from "./fencing-queue.js";
import { HeartbeatIntake } from "./heartbeat-intake.js";
import { ReachabilityTracker } from "./reachability-tracker.js";
import { Reconciler } from "./reconciler.js";

/** What the agent manager reports to the leader's term. */
export interface AgentEvents {
  /** A placement is proved to have ended, and is no longer part of the cluster state. */
  onPlacementEnded(placement: Placement, cause: ExitReason | "lost"): void;
  /** A task was observed running for the first time. */
  onTaskRunning(placement: Placement): void;
  /** Machines have become schedulable, or have ceased to be: a scheduling round is due. */
  onCapacityChanged(): void;
}

/** What the agent manager works with. */
export interface AgentManagerDependencies {
  readonly ctx: Context;
  readonly election: Election;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly recordWriter: RecordWriter;
}

/**
 * A leader's dealings with the agents: heartbeats in, commands out, and the proofs that a task has ended. The parts:
 * `HeartbeatIntake` accepts heartbeats, `Reconciler` compares them with the placements, `CommandPlanner` decides what an
 * agent is to do, `CommandSender` sends it directly, `FencingQueue` and `ReachabilityTracker` see to it that agents
 * follow this leader. A placement ends only on a proof (I3): the agent reports the end, omits a start that can no longer
 * arrive, has begun a later incarnation, lets its lease expire, or the cloud confirms that the machine is terminated.
 */
export class AgentManager {
  readonly #ctx: Context;
  readonly #election: Election;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  readonly #recordWriter: RecordWriter;
  readonly #events: AgentEvents;
  readonly #fencingQueue: FencingQueue;
  readonly #reachability: ReachabilityTracker;
  readonly #commandPlanner: CommandPlanner;
  readonly #commandSender: CommandSender;
  readonly #reconciler: Reconciler;
  readonly #intake: HeartbeatIntake;

  constructor(dependencies: AgentManagerDependencies, events: AgentEvents) {
    const { ctx, election, lease, cluster, recordWriter } = dependencies;
    this.#ctx = ctx;
    this.#election = election;
    this.#lease = lease;
    this.#cluster = cluster;
    this.#recordWriter = recordWriter;
    this.#events = events;
    const onPlacementLost = (placement: Placement): void => this.#endPlacement(placement, "lost");
    const onCapacityChanged = (): void => events.onCapacityChanged();
    this.#commandPlanner = new CommandPlanner({ ...dependencies, onStartAbandoned: onPlacementLost });
    this.#commandSender = new CommandSender(ctx, lease, this.#commandPlanner);
    this.#fencingQueue = new FencingQueue(ctx, lease, (machine) => this.#commandSender.sendFencing(machine));
    this.#reachability = new ReachabilityTracker(ctx, lease, this.#fencingQueue, onCapacityChanged);
    this.#reconciler = new Reconciler(ctx, lease, cluster, this.#reachability, {
      onPlacementEnded: (placement, cause) => this.#endPlacement(placement, cause),
      onTaskRunning: (placement) => events.onTaskRunning(placement),
    });
    this.#intake = new HeartbeatIntake({
      ctx,
      election,
      lease,
      cluster,
      fencingQueue: this.#fencingQueue,
      reachability: this.#reachability,
      reconciler: this.#reconciler,
      onCapacityChanged,
    });
  }

  /** False until the stored records are loaded: until then heartbeats are answered, but not acted on. */
  get areRecordsLoaded(): boolean {
    return this.#reconciler.areRecordsLoaded;
  }

  set areRecordsLoaded(areLoaded: boolean) {
    this.#reconciler.areRecordsLoaded = areLoaded;
  }

  /** How many heartbeats were compared with the placements; the others reported nothing new. */
  get reconciliations(): number {
    return this.#reconciler.reconciliations;
  }

  /** Takes in a heartbeat that this node answers as leader, and returns the reply, which renews the agent's lease. */
  replyTo(heartbeat: Heartbeat): HeartbeatReply {
    const machine = this.#intake.accept(heartbeat, "heartbeat");
    if (!machine || !this.#isLeading) return { kind: "unavailable" };
    // Every reply renews the agent's lease, also one to a heartbeat that the reply to a direct command has overtaken.
    machine.repliedAt = this.#ctx.now;
    const commands = this.areRecordsLoaded ? this.#commandPlanner.commandsFor(machine) : [];
    this.#reachability.onReplied(machine);
    return { kind: "commands", fencingToken: this.#lease.fencingToken, commands };
  }

  /**
   * Takes in the reply to a command batch that was sent directly.
   *
   * @param id The batch's number.
   * @param status What the agent reports in its reply; null where no reply came.
   * @param executed False where the agent refused the batch.
   */
  onCommandReply(id: number, status: Heartbeat | null, executed: boolean): void {
    const machine = this.#commandSender.takeInFlight(id);
    if (!machine) return;
    if (!status || status.machine !== machine.index) {
      this.#commandSender.delayRetry(machine);
      return;
    }
    this.#intake.accept(status, "commandReply");
    if (!this.#isLeading) return;
    if (executed) this.#reachability.markReachable(machine);
    // Refused for its incarnation: now that the present one is known, the token is sent again.
    else if (machine.fencedAt === null && status.incarnation === machine.incarnation)
      this.queueFencing(machine);
  }

  /** False once the node has stepped down, which a higher fencing token in a heartbeat may bring about. */
  get #isLeading(): boolean {
    return this.#election.lease === this.#lease;
  }

  /** Compares a machine's last heartbeat with its placements. */
  reconcile(machine: Machine): void {
    this.#reconciler.reconcile(machine);
  }

  /** True while starts are under way that agents would refuse if this leader advanced its fencing token. */
  hasStartsInFlight(): boolean {
    return this.#commandPlanner.hasStartsInFlight();
  }

  /**
   * Asks for a task to be stopped, with `graceS` seconds to write a checkpoint. A repeated call can only shorten the
   * grace. A placement whose start was never sent ends at once (I2), whether or not it is on record.
   */
  stopTask(placement: Placement, graceS: number, reason: string): void {
    if (placement.startSentUnder === 0 && this.#isOfThisTerm(placement)) {
      this.#cluster.removePlacement(placement, this.#ctx.now);
      this.#recordWriter.markDirty(placement.job, placement.task, false);
      this.#events.onPlacementEnded(placement, "stopped");
      return;
    }
    const { stop } = placement;
    if (stop && stop.graceS <= graceS) return;
    placement.stop = {
      graceS,
      at: stop?.at ?? this.#ctx.now,
      sentAt: Number.NEGATIVE_INFINITY,
      reason,
    };
    this.queueCommands(placement.machine);
  }

  #isOfThisTerm({ attempt }: Placement): boolean {
    return fencingTokenOf(attempt) >= this.#lease.firstFencingToken;
  }

  /** Has the commands that are due for this machine sent directly, at the end of this batch. */
  queueCommands(machine: Machine): void {
    this.#commandSender.queue(machine);
  }

  /** Sends the commands of the machines queued; called at the end of each batch. */
  sendQueuedCommands(): void {
    this.#commandSender.sendQueued();
  }

  /** Has the fencing token sent to an agent, so that it adopts this leader without waiting for its next heartbeat. */
  queueFencing(machine: Machine): void {
    this.#fencingQueue.add(machine);
  }

  /** Sends the fencing token to the next few machines queued; called at each tick. */
  sendQueuedFencing(): void {
    if (this.areRecordsLoaded) this.#fencingQueue.tick();
  }

  /** Ends the placements of the machines whose agents' leases have expired. */
  expireLeases(): void {
    if (!this.areRecordsLoaded) return;
    const { now, deployment } = this.#ctx;
    for (const machine of this.#cluster.machines.values()) {
      if (machine.phase === "booting" || machine.isLeaseExpired) continue;
      if (now >= leaseExpiresAt(machine, this.#lease, deployment.leaseS))
        this.expireMachine(machine, "lease expired");
    }
  }

  /** Ends every placement of a machine on which, for the reason given, no task can run any more (I3). */
  expireMachine(machine: Machine, reason: string): void {
    machine.isLeaseExpired = true;
    machine.usedByUnknownTasks = NO_RESOURCES;
    const placements = [...machine.placements];
    this.#ctx.log("info", "machine expired", {
      machine: machine.name,
      reason,
      tasks: placements.length,
    });
    for (const placement of placements) this.#endPlacement(placement, "lost");
    this.#events.onCapacityChanged();
  }

  #endPlacement(placement: Placement, cause: ExitReason | "lost"): void {
    this.#cluster.removePlacement(placement, this.#ctx.now);
    this.#events.onPlacementEnded(placement, cause);
  }
}
