import type { Context } from "../context.js";
import type { Election } from "../election/election.js";
import type { LeaderLease } from "../election/leader-lease.js";
import { CLOCK_DRIFT_FACTOR } from "../election/lease-renewal-policy.js";
import type { AgentCommand, Heartbeat, HeartbeatReply, ReportedTask } from "../messages/agents.js";
import { fencingTokenOf } from "../model/attempt-number.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { ExitReason } from "../model/job-spec.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, NO_RESOURCES } from "../model/resources.js";
import { recordImageCached, recordImageFetch } from "../scheduling/image-caches.js";
import type { RecordWriter } from "../store/record-writer.js";
import { CommandPlanner } from "./command-planner.js";
import { FencingQueue } from "./fencing-queue.js";
import { ReachabilityTracker } from "./reachability-tracker.js";

const COMMAND_RETRY_MS = 1500;
const LEASE_EXPIRY_MARGIN_MS = 600;

export interface AgentEvents {
  /** A placement is proved gone; the tables no longer hold it. */
  onPlacementEnded(placement: Placement, cause: ExitReason | "lost"): void;
  /** A replica or task was seen running for the first time. */
  onTaskRunning(placement: Placement): void;
  onCapacityChanged(): void;
}

/** The dealings with workers: reports in, orders out, and the proofs that a task is gone. */
export class AgentManager {
  readonly #ctx: Context;
  readonly #leadership: Election;
  readonly #term: LeaderLease;
  readonly #tables: ClusterState;
  readonly #recorder: RecordWriter;
  readonly #events: AgentEvents;
  readonly #fencing: FencingQueue;
  readonly #contact: ReachabilityTracker;
  readonly #orders: CommandPlanner;
  readonly #doWaiting = new Map<number, Machine>();
  /** Machines with orders to send at the end of this batch. */
  readonly #wanting = new Set<Machine>();
  /** False until the records are read: until then reports are answered but not acted on. */
  areRecordsLoaded = false;
  /** Counts reports that were compared with what is placed: the others said nothing new. */
  reconciliations = 0;

  constructor(
    ctx: Context,
    leadership: Election,
    term: LeaderLease,
    tables: ClusterState,
    recorder: RecordWriter,
    events: AgentEvents,
  ) {
    this.#ctx = ctx;
    this.#leadership = leadership;
    this.#term = term;
    this.#tables = tables;
    this.#recorder = recorder;
    this.#events = events;
    this.#fencing = new FencingQueue(ctx, term, (machine) => {
      this.#sendDo(machine, Math.max(1, machine.incarnation), []);
    });
    this.#orders = new CommandPlanner(ctx, leadership, term, tables, recorder, (placement) => {
      this.#gone(placement, "lost");
    });
    this.#contact = new ReachabilityTracker(ctx, term, this.#fencing, () => events.onCapacityChanged());
  }

  /** A report that this node answers as leader. */
  replyTo(report: Heartbeat): HeartbeatReply {
    const machine = this.#take(report, false);
    if (!machine || this.#leadership.lease !== this.#term) return { kind: "unavailable" };
    // Every answer renews the lease, also one to a report that a direct answer has overtaken.
    machine.repliedAt = this.#ctx.now;
    const orders = this.areRecordsLoaded ? this.#orders.commandsFor(machine) : [];
    this.#contact.onReplied(machine);
    return { kind: "commands", fencingToken: this.#term.fencingToken, commands: orders };
  }

  onCommandReply(id: number, report: Heartbeat | null, executed: boolean): void {
    const machine = this.#doWaiting.get(id);
    if (!machine) return;
    this.#doWaiting.delete(id);
    machine.isCommandInFlight = false;
    if (report && report.machine === machine.index) {
      this.#take(report, true);
      if (this.#leadership.lease !== this.#term) return;
      // A refusal for another session executed nothing: show the token again, now that the session is known.
      if (!executed && machine.fencedAt === null && report.incarnation === machine.incarnation)
        this.queueFencing(machine);
      if (executed) this.#contact.markReachable(machine);
    } else {
      machine.commandRetryAt = this.#ctx.now + COMMAND_RETRY_MS;
    }
  }

  /**
   * Takes in a report; what it says counts only if it is newer than what is known. The answer to a direct command is no
   * sign that the worker can report: one that can't gets no work, and loses what it has with its lease.
   */
  #take(report: Heartbeat, direct: boolean): Machine | null {
    const { now } = this.#ctx;
    const name = this.#ctx.names.machines.name(report.machine);
    this.#leadership.observeToken(report.fencingToken);
    if (this.#leadership.lease !== this.#term) return null;
    // A copy that comes late, after its machine's release, must not bring the machine back.
    const known = this.#tables.machines.has(report.machine);
    if (!known && this.#tables.terminatedMachines.has(name)) return null;
    const machine = this.#tables.machine(name, report, now);
    const newer =
      report.incarnation > machine.incarnation ||
      (report.incarnation === machine.incarnation && report.sequence > machine.sequence);
    if (!newer) return machine;
    if (machine.phase === "booting") {
      machine.phase = "up";
      this.#ctx.log("debug", "machine up", { machine: name, type: machine.typeName, zone: machine.zone });
      this.#events.onCapacityChanged();
    }
    if (report.incarnation > machine.incarnation) {
      machine.incarnationSince = now;
      // Its lease ran out although it was answered: the answers don't reach it.
      const answered = now - machine.repliedAt < this.#ctx.deployment.leaseS * 1000;
      if (machine.incarnation > 0 && answered)
        this.#contact.markUnreachable(machine, "its lease ran out under answers");
    }
    this.#contact.observeHeartbeat(machine, report);
    machine.incarnation = report.incarnation;
    machine.sequence = report.sequence;
    machine.fencingToken = report.fencingToken;
    if (!direct) {
      machine.heartbeatAt = now;
      if (machine.isLeaseExpired) {
        machine.isLeaseExpired = false;
        this.#events.onCapacityChanged();
      }
    }
    // Only a worker that carries a token of this term has shut out all earlier leaders.
    if (machine.fencedAt === null) {
      if (report.fencingToken >= this.#term.firstFencingToken) {
        machine.fencedAt = now;
        this.#fencing.remove(machine);
        this.#events.onCapacityChanged();
      }
    }
    if (report.reclaimNoticeS !== null) {
      if (machine.reclaimedAt === null) {
        this.#ctx.log("info", "machine will be taken back", { machine: name, in_s: report.reclaimNoticeS });
        this.#events.onCapacityChanged();
      }
      machine.reclaimedAt = now + report.reclaimNoticeS * 1000;
    }
    const before = machine.heartbeat;
    machine.heartbeat = report;
    // Most reports of a large fleet say what the last one said: they cost no more than the comparison.
    if (this.areRecordsLoaded && !(before && saysTheSame(before, report))) this.reconcile(machine);
    return machine;
  }

  /** Compares what a worker reports with what is placed there. */
  reconcile(machine: Machine): void {
    const { heartbeat: report } = machine;
    if (!report) return;
    this.reconciliations++;
    const reported = new Map<number, Map<number, ReportedTask>>();
    for (const entry of report.tasks) {
      let tasks = reported.get(entry.job);
      if (!tasks) {
        tasks = new Map();
        reported.set(entry.job, tasks);
      }
      const other = tasks.get(entry.task);
      // An ended attempt may still be listed beside its successor.
      if (!other || other.state === "ended") tasks.set(entry.task, entry);
    }
    let stray = NO_RESOURCES;
    for (const placement of [...machine.placements]) {
      const entry = reported.get(placement.job.index)?.get(placement.task);
      if (report.incarnation > placement.incarnation) {
        this.#gone(placement, "lost");
      } else if (entry && entry.attempt === placement.attempt) {
        this.#seen(placement, entry);
      } else if (placement.isRecorded && this.#provedAbsent(machine, placement, report)) {
        this.#gone(placement, "lost");
      }
    }
    for (const entry of report.tasks) {
      if (entry.state === "ended") continue;
      const job = this.#tables.jobs.get(entry.job);
      const placement = job?.placements.get(entry.task);
      if (placement && placement.machine === machine && placement.attempt === entry.attempt) continue;
      if (job) stray = add(stray, job.spec.need);
    }
    machine.usedByUnknownTasks = stray;
  }

  /**
   * "Not in the report" proves nothing while a start may be on its way. A start sent under an older token
   * than the worker carries can no longer be executed.
   */
  #provedAbsent(machine: Machine, placement: Placement, report: Heartbeat): boolean {
    return (
      machine.fencedAt !== null &&
      report.fencingToken > placement.startSentUnder &&
      this.#sentOrInherited(placement)
    );
  }

  /** A placement of this term whose start was never sent is not absent: it is yet to be started. */
  #sentOrInherited(placement: Placement): boolean {
    return placement.startSentUnder > 0 || fencingTokenOf(placement.attempt) < this.#term.firstFencingToken;
  }

  #seen(placement: Placement, entry: ReportedTask): void {
    const { now } = this.#ctx;
    const before = placement.observedState;
    placement.observedState = entry.state;
    if (before === null && placement.startSentUnder > 0) this.#contact.markReachable(placement.machine);
    if (entry.state === "ended") {
      this.#gone(placement, entry.exitReason ?? "error");
      return;
    }
    const { machine, job } = placement;
    const image = machine.images.get(job.spec.image);
    if (entry.state === "fetching") {
      if (!image) recordImageFetch(this.#ctx, machine, job);
    } else {
      recordImageCached(this.#ctx, machine, job);
    }
    if (entry.state === "running" && before !== "running") {
      placement.runningSince ??= now;
      this.#events.onTaskRunning(placement);
    }
  }

  #gone(placement: Placement, cause: ExitReason | "lost"): void {
    this.#tables.removePlacement(placement, this.#ctx.now);
    this.#events.onPlacementEnded(placement, cause);
  }

  /** Starts under way that a raised token would cut off. */
  hasStartsInFlight(): boolean {
    return this.#orders.hasStartsInFlight();
  }

  /** Asks for a task to be stopped; one that was never sent, on record or not, is simply taken back. */
  stopTask(placement: Placement, graceS: number, why: string): void {
    if (placement.startSentUnder === 0 && fencingTokenOf(placement.attempt) >= this.#term.firstFencingToken) {
      this.#tables.removePlacement(placement, this.#ctx.now);
      this.#recorder.markDirty(placement.job, placement.task, false);
      this.#events.onPlacementEnded(placement, "stopped");
      return;
    }
    const { stop } = placement;
    if (stop && stop.graceS <= graceS) return;
    placement.stop = {
      graceS,
      at: stop?.at ?? this.#ctx.now,
      sentAt: Number.NEGATIVE_INFINITY,
      reason: why,
    };
    this.queueCommands(placement.machine);
  }

  /** Sends what there is for this machine directly, at the end of this batch. */
  queueCommands(machine: Machine): void {
    this.#wanting.add(machine);
  }

  sendQueuedCommands(): void {
    const { now } = this.#ctx;
    for (const machine of this.#wanting) {
      // Those that wait for an answer or for another try stay in the set.
      if (machine.isCommandInFlight || now < machine.commandRetryAt) continue;
      this.#wanting.delete(machine);
      if (machine.phase !== "up" || machine.incarnation === 0) continue;
      const orders = this.#orders.commandsFor(machine);
      if (orders.length > 0) this.#sendDo(machine, machine.incarnation, orders);
    }
  }

  #sendDo(machine: Machine, session: number, orders: readonly AgentCommand[]): void {
    const id = this.#ctx.nextId();
    machine.isCommandInFlight = true;
    this.#doWaiting.set(id, machine);
    this.#ctx.emit({
      kind: "sendAgentCommands",
      id,
      machine: machine.index,
      address: machine.address,
      fencingToken: this.#term.fencingToken,
      incarnation: session,
      commands: orders,
    });
  }

  /** The time from which a silent worker has killed its tasks: proof by lease. */
  #leaseOverAt(machine: Machine): number {
    const leaseMs = this.#ctx.deployment.leaseS * 1000 * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN_MS;
    // A session has its full lease from its beginning, whether or not a report of it was ever answered:
    // judged by the answers alone, a worker that had just come back was taken for dead.
    const heard = Math.max(machine.repliedAt, machine.incarnationSince);
    if (machine.fencedAt !== null) return Math.max(heard, machine.fencedAt) + leaseMs;
    // Not adopted: an earlier leader may have answered it up to the end of its hold. Also where this node follows an
    // earlier incarnation of itself: the leader before that one may still be in its hold.
    return Math.max(this.#term.previousLeaderUntil, heard) + leaseMs;
  }

  /** Shows a worker the token soon, so that it adopts this leader without waiting for its next report. */
  queueFencing(machine: Machine): void {
    this.#fencing.add(machine);
  }

  /** Each tick: the next few workers that are to be shown the token. */
  sendQueuedFencing(): void {
    if (this.areRecordsLoaded) this.#fencing.tick();
  }

  expireLeases(): void {
    if (!this.areRecordsLoaded) return;
    const { now } = this.#ctx;
    for (const machine of this.#tables.machines.values()) {
      if (machine.phase !== "booting" && !machine.isLeaseExpired && now >= this.#leaseOverAt(machine)) {
        this.expireMachine(machine, "its lease is over");
      }
    }
  }

  /** Every task on this machine is proved gone. */
  expireMachine(machine: Machine, why: string): void {
    machine.isLeaseExpired = true;
    machine.usedByUnknownTasks = NO_RESOURCES;
    const placements = [...machine.placements];
    this.#ctx.log("info", "machine lost", { machine: machine.name, why, tasks: placements.length });
    for (const placement of placements) this.#gone(placement, "lost");
    this.#events.onCapacityChanged();
  }
}

/** True if a report tells nothing that the one before did not tell. */
function saysTheSame(
  before: Heartbeat,
  { incarnation: session, fencingToken: token, tasks }: Heartbeat,
): boolean {
  if (before.incarnation !== session || before.fencingToken !== token || before.tasks.length !== tasks.length)
    return false;
  return tasks.every((entry, i) => {
    const other = before.tasks[i];
    return (
      other !== undefined &&
      other.job === entry.job &&
      other.task === entry.task &&
      other.attempt === entry.attempt &&
      other.state === entry.state
    );
  });
}
