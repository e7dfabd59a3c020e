import type { Context } from "../context.js";
import type { Heartbeat, ReportedTask } from "../messages/agents.js";
import { fencingTokenOf } from "../model/attempt-number.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { ExitReason } from "../model/job-spec.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, NO_RESOURCES, type Resources } from "../model/resources.js";
import { recordImageCached, recordImageFetch } from "./image-caches.js";
import type { ReachabilityTracker } from "./reachability-tracker.js";

/** Events that {@link Reconciler} reports to the agent manager. */
export interface ReconcilerEvents {
  /** A placement is proved to have ended and must be removed from the cluster state. */
  onPlacementEnded(placement: Placement, cause: ExitReason | "lost"): void;
  /** A task was observed running for the first time. */
  onTaskRunning(placement: Placement): void;
}

/** The tasks of a heartbeat, by job index and task number. */
type ReportedTasks = ReadonlyMap<number, ReadonlyMap<number, ReportedTask>>;

/** Compares the tasks reported in a heartbeat with the placements on its machine, and acts on the differences. */
export class Reconciler {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  readonly #reachability: ReachabilityTracker;
  readonly #events: ReconcilerEvents;
  /** False until the placements recorded by earlier leaders are loaded; until then there is nothing to compare with. */
  areRecordsLoaded = false;
  /** Number of heartbeats compared with the placements. */
  reconciliations = 0;

  constructor(
    ctx: Context,
    lease: LeaderLease,
    cluster: ClusterState,
    reachability: ReachabilityTracker,
    events: ReconcilerEvents,
  ) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#cluster = cluster;
    this.#reachability = reachability;
    this.#events = events;
  }

  /** Compares a machine's last heartbeat, if any, with its placements. */
  reconcile(machine: Machine): void {
    const { heartbeat } = machine;
    if (!heartbeat) return;
    this.reconciliations++;
    const reportedTasks = indexTasks(heartbeat);
    // Iterates over a copy, as ended placements are removed in the loop.
    for (const placement of [...machine.placements])
      this.#reconcilePlacement(placement, heartbeat, reportedTasks);
    machine.usedByUnknownTasks = this.#usedByUnknownTasks(machine, heartbeat);
  }

  #reconcilePlacement(placement: Placement, heartbeat: Heartbeat, reportedTasks: ReportedTasks): void {
    const reported = reportedTasks.get(placement.job.index)?.get(placement.task);
    if (heartbeat.incarnation > placement.incarnation) {
      // The agent terminated all tasks of its earlier incarnation. This stays true however old the heartbeat is (I4).
      this.#events.onPlacementEnded(placement, "lost");
    } else if (reported && reported.attempt === placement.attempt) {
      this.#applyReportedState(placement, reported);
    } else if (placement.isRecorded && this.#isProvedAbsent(placement, heartbeat)) {
      this.#events.onPlacementEnded(placement, "lost");
    }
  }

  /**
   * A task's absence from the heartbeat proves nothing while a start of it may still arrive (I3). A start that was sent
   * under an older fencing token than the agent's can no longer be executed.
   */
  #isProvedAbsent(placement: Placement, heartbeat: Heartbeat): boolean {
    return (
      placement.machine.fencedAt !== null &&
      heartbeat.fencingToken > placement.startSentUnder &&
      this.#wasSentOrInherited(placement)
    );
  }

  /** False for a placement of this term whose start was never sent: the task is not lost, but not started yet. */
  #wasSentOrInherited({ startSentUnder, attempt }: Placement): boolean {
    return startSentUnder > 0 || fencingTokenOf(attempt) < this.#lease.firstFencingToken;
  }

  #applyReportedState(placement: Placement, reported: ReportedTask): void {
    const previousState = placement.observedState;
    placement.observedState = reported.state;
    if (previousState === null && placement.startSentUnder > 0)
      this.#reachability.markReachable(placement.machine);
    if (reported.state === "ended") {
      this.#events.onPlacementEnded(placement, reported.exitReason ?? "error");
      return;
    }
    this.#observeImage(placement, reported);
    if (reported.state === "running" && previousState !== "running") {
      placement.runningSince ??= this.#ctx.now;
      this.#events.onTaskRunning(placement);
    }
  }

  #observeImage({ machine, job }: Placement, { state }: ReportedTask): void {
    if (state !== "fetching") recordImageCached(this.#ctx, machine, job);
    else if (!machine.images.has(job.spec.image)) recordImageFetch(this.#ctx, machine, job);
  }

  /** Returns the resources of reported tasks without a placement here; they are in use until reported as ended. */
  #usedByUnknownTasks(machine: Machine, { tasks }: Heartbeat): Resources {
    let used = NO_RESOURCES;
    for (const { job: jobIndex, task, attempt, state } of tasks) {
      if (state === "ended") continue;
      const job = this.#cluster.jobs.get(jobIndex);
      if (!job) continue;
      const placement = job.placements.get(task);
      if (placement?.machine !== machine || placement.attempt !== attempt) used = add(used, job.spec.need);
    }
    return used;
  }
}

/** Indexes a heartbeat's tasks. If an ended attempt is listed together with its successor, the successor is used. */
function indexTasks({ tasks }: Heartbeat): ReportedTasks {
  const byJob = new Map<number, Map<number, ReportedTask>>();
  for (const reported of tasks) {
    let byTask = byJob.get(reported.job);
    if (!byTask) {
      byTask = new Map();
      byJob.set(reported.job, byTask);
    }
    const other = byTask.get(reported.task);
    if (!other || other.state === "ended") byTask.set(reported.task, reported);
  }
  return byJob;
}
