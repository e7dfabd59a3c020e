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

/** What reconciliation concludes. */
export interface ReconcilerEvents {
  /** The placement is proved to have ended and has to be removed from the cluster state. */
  onPlacementEnded(placement: Placement, cause: ExitReason | "lost"): void;
  /** A task was observed running for the first time. */
  onTaskRunning(placement: Placement): void;
}

/** A heartbeat's tasks by job index and task number. */
type ReportedTasks = ReadonlyMap<number, ReadonlyMap<number, ReportedTask>>;

/** Compares the tasks that a heartbeat reports with the placements on its machine, and follows the differences up. */
export class Reconciler {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  readonly #reachability: ReachabilityTracker;
  readonly #events: ReconcilerEvents;
  /** False until the placements that earlier leaders recorded are loaded: until then there is nothing to compare with. */
  areRecordsLoaded = false;
  /** How many heartbeats were compared. */
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

  /** Compares the machine's last heartbeat, if there is one, with its placements. */
  reconcile(machine: Machine): void {
    const { heartbeat } = machine;
    if (!heartbeat) return;
    this.reconciliations++;
    const reportedTasks = indexTasks(heartbeat);
    // A copy: placements that have ended are removed on the way.
    for (const placement of [...machine.placements])
      this.#reconcilePlacement(placement, heartbeat, reportedTasks);
    machine.usedByUnknownTasks = this.#usedByUnknownTasks(machine, heartbeat);
  }

  #reconcilePlacement(placement: Placement, heartbeat: Heartbeat, reportedTasks: ReportedTasks): void {
    const reported = reportedTasks.get(placement.job.index)?.get(placement.task);
    if (heartbeat.incarnation > placement.incarnation) {
      // The agent ended all tasks of the earlier incarnation (I4: a fact whenever it was said).
      this.#events.onPlacementEnded(placement, "lost");
    } else if (reported && reported.attempt === placement.attempt) {
      this.#observe(placement, reported);
    } else if (placement.isRecorded && this.#isProvedAbsent(placement, heartbeat)) {
      this.#events.onPlacementEnded(placement, "lost");
    }
  }

  /**
   * That a task is not reported proves nothing while a start of it may be on its way (I3). A start that was sent under
   * an older fencing token than the agent carries can no longer be executed.
   */
  #isProvedAbsent(placement: Placement, heartbeat: Heartbeat): boolean {
    return (
      placement.machine.fencedAt !== null &&
      heartbeat.fencingToken > placement.startSentUnder &&
      this.#wasSentOrInherited(placement)
    );
  }

  /** A placement of this term whose start was never sent is not absent: it is yet to be started. */
  #wasSentOrInherited({ startSentUnder, attempt }: Placement): boolean {
    return startSentUnder > 0 || fencingTokenOf(attempt) < this.#lease.firstFencingToken;
  }

  #observe(placement: Placement, reported: ReportedTask): void {
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

  /** What is used by reported tasks without a placement here: it is not free until they are reported as ended. */
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

/** An ended attempt may still be listed beside its successor, which is the one that counts. */
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
