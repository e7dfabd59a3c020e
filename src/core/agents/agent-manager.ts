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

/** Events that {@link AgentManager} reports to the leader's term. */
export interface AgentEvents {
  /** A placement is proved to have ended and was removed from the cluster state. */
  onPlacementEnded(placement: Placement, cause: ExitReason | "lost"): void;
  /** A task was observed running for the first time. */
  onTaskRunning(placement: Placement): void;
  /** The set of schedulable machines has changed, so a scheduling round is due. */
  onCapacityChanged(): void;
}

/** The dependencies of {@link AgentManager}. */
export interface AgentManagerDependencies {
  readonly ctx: Context;
  readonly election: Election;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly recordWriter: RecordWriter;
}

/**
 * Manages the leader's communication with the agents: receives heartbeats, sends commands, and proves that tasks have
 * ended. `HeartbeatIntake` accepts heartbeats, `Reconciler` compares them with the placements, `CommandPlanner` decides
 * which commands are due, `CommandSender` sends them directly, `FencingQueue` sends the fencing token to agents, and
 * `ReachabilityTracker` detects unreachable agents.
 *
 * A placement ends only on proof (I3): the agent reports the end, omits a task whose start can no longer arrive, or has
 * a later incarnation; its lease has expired; or the cloud confirms that the machine is terminated.
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

  /** False until the stored records are loaded. Until then heartbeats are answered, but not reconciled. */
  get areRecordsLoaded(): boolean {
    return this.#reconciler.areRecordsLoaded;
  }

  set areRecordsLoaded(areLoaded: boolean) {
    this.#reconciler.areRecordsLoaded = areLoaded;
  }

  /** Number of heartbeats compared with the placements. Heartbeats that report nothing new are skipped. */
  get reconciliations(): number {
    return this.#reconciler.reconciliations;
  }

  /** Processes a heartbeat as leader and returns the reply, which renews the agent's lease. */
  replyTo(heartbeat: Heartbeat): HeartbeatReply {
    const machine = this.#intake.accept(heartbeat, "heartbeat");
    if (!machine || !this.#isLeading) return { kind: "unavailable" };
    // Every reply renews the agent's lease, even if the reply to a direct command has overtaken the heartbeat.
    machine.repliedAt = this.#ctx.now;
    const commands = this.areRecordsLoaded ? this.#commandPlanner.commandsFor(machine) : [];
    this.#reachability.onReplied(machine);
    return { kind: "commands", fencingToken: this.#lease.fencingToken, commands };
  }

  /**
   * Processes the reply to a command batch that was sent directly.
   *
   * @param id The number of the batch.
   * @param heartbeat The heartbeat in the reply; null if no reply arrived.
   * @param executed False if the agent refused the batch.
   */
  onCommandReply(id: number, heartbeat: Heartbeat | null, executed: boolean): void {
    const machine = this.#commandSender.removeInFlight(id);
    if (!machine) return;
    if (!heartbeat || heartbeat.machine !== machine.index) {
      this.#commandSender.delayRetry(machine);
      return;
    }
    this.#intake.accept(heartbeat, "commandReply");
    if (!this.#isLeading) return;
    if (executed) this.#reachability.markReachable(machine);
    // Refused because of an outdated incarnation. The current one is known now, so the fencing token is sent again.
    else if (machine.fencedAt === null && heartbeat.incarnation === machine.incarnation)
      this.queueFencing(machine);
  }

  /** False once the node has stepped down, for example on a higher fencing token in a heartbeat. */
  get #isLeading(): boolean {
    return this.#election.lease === this.#lease;
  }

  /** Compares a machine's last heartbeat with its placements. */
  reconcile(machine: Machine): void {
    this.#reconciler.reconcile(machine);
  }

  /** True while starts under the current fencing token have shown no effect yet; a new token would invalidate them. */
  hasUnacknowledgedStarts(): boolean {
    return this.#commandPlanner.hasUnacknowledgedStarts();
  }

  /**
   * Stops a task and allows it `graceS` seconds to write a checkpoint. A repeated call can only shorten this time. A
   * placement whose start was never sent ends immediately (I2), whether or not it is recorded in the store.
   */
  stopTask(placement: Placement, graceS: number, reason: string): void {
    if (!placement.stop) this.#logStop(placement, reason);
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

  #logStop({ job, task, machine }: Placement, reason: string): void {
    this.#ctx.log("debug", "stopping task", { job: job.uid, task, machine: machine.name, reason });
  }

  #isOfThisTerm({ attempt }: Placement): boolean {
    return fencingTokenOf(attempt) >= this.#lease.firstFencingToken;
  }

  /** Queues a machine, so that its due commands are sent directly once the controller finishes its current batch. */
  queueCommands(machine: Machine): void {
    this.#commandSender.queue(machine);
  }

  /** Sends the due commands of the queued machines. Called at the end of each batch that the controller processes. */
  sendQueuedCommands(): void {
    this.#commandSender.sendQueued();
  }

  /** Queues the fencing token for an agent, so that the agent adopts this leader before its next heartbeat. */
  queueFencing(machine: Machine): void {
    this.#fencingQueue.add(machine);
  }

  /** Sends the fencing token to the next few queued machines. Called at each tick. */
  sendQueuedFencing(): void {
    if (this.areRecordsLoaded) this.#fencingQueue.tick();
  }

  /** Ends the placements on machines whose agent lease has expired. */
  expireLeases(): void {
    if (!this.areRecordsLoaded) return;
    const { now, deployment } = this.#ctx;
    for (const machine of this.#cluster.machines.values()) {
      if (machine.phase === "booting" || machine.isLeaseExpired) continue;
      if (now < leaseExpiresAt(machine, this.#lease, deployment.leaseS)) continue;
      this.expireMachine(machine, "agent lease expired", this.#leaseEvidence(machine));
    }
  }

  /** For the log: the times from which the expiry of a machine's agent lease was computed. */
  #leaseEvidence({ fencedAt, repliedAt }: Machine): Record<string, unknown> {
    const { now } = this.#ctx;
    return {
      fenced: fencedAt !== null,
      replied_ms_ago: Number.isFinite(repliedAt) ? Math.round(now - repliedAt) : null,
      earlier_leaders_ended_ms_ago: Math.round(now - this.#lease.earlierLeadersUntil),
    };
  }

  /**
   * Ends all placements of a machine on which, for the given reason, no task can be running any more (I3).
   *
   * @param machine The machine.
   * @param reason The proof, for the log.
   * @param evidence The facts behind the proof, as further fields of the log line.
   */
  expireMachine(machine: Machine, reason: string, evidence: Record<string, unknown> = {}): void {
    machine.isLeaseExpired = true;
    machine.usedByUnknownTasks = NO_RESOURCES;
    const placements = [...machine.placements];
    this.#ctx.log("info", "placements on machine ended", {
      machine: machine.name,
      reason,
      tasks: placements.length,
      ...evidence,
    });
    for (const placement of placements) this.#endPlacement(placement, "lost");
    this.#events.onCapacityChanged();
  }

  #endPlacement(placement: Placement, cause: ExitReason | "lost"): void {
    this.#cluster.removePlacement(placement, this.#ctx.now);
    this.#events.onPlacementEnded(placement, cause);
  }
}
