import type { JobSpec, Priority } from "./job-spec.js";
import type { Machine } from "./machine.js";
import type { Placement } from "./placement.js";

/** The state of a job: "active" until it is cancelled or all of its tasks are done. */
export type JobState = "active" | "cancelled" | "done";

/** Task states, stored in one byte each. */
const PENDING = 0;
const PLACED = 1;
const DONE = 2;

/**
 * An unfinished job in the leader's cluster state. Each of its tasks is pending, placed or done. Placements are added
 * and removed only through `ClusterState`, which keeps the usage of machines and quotas consistent.
 */
export class Job {
  /** Interner index of the uid. */
  readonly index: number;
  readonly uid: string;
  readonly spec: JobSpec;
  /** Wall-clock time of acceptance, in ms. */
  readonly acceptedAt: number;
  /** Version of the job's key: writes of the key are conditioned on it (I5). */
  version: number;
  state: JobState = "active";
  /** After failures, no task of the job is placed before this time. */
  backoffUntil = 0;
  /** How many times the next backoff after failures is doubled. */
  backoffDoublings = 0;
  /** Until this time only jobs of the highest priority may preempt it, because it waited long before it started. */
  protectedUntil = 0;
  /** The pending reason as of the last scheduling round, as text for operators. */
  pendingReason: string | null = null;
  /** The pending reasons logged so far. Each is logged once, because reasons alternate between rounds. */
  readonly loggedReasons = new Set<string>();
  /** True if a placement record of the job is unreadable: no task may be started, as any may be running. */
  hasUnreadableRecord = false;
  /** Number of failed tasks since a task was last done. */
  failures = 0;
  /** When a task of the job last failed on each machine; failures long ago are forgotten. */
  readonly failedOn = new Map<Machine, number>();
  /** When a task of the job was last done or a replica had run for long; minus infinity if never. */
  succeededAt = Number.NEGATIVE_INFINITY;
  /** The active placements by task number. */
  readonly placements = new Map<number, Placement>();
  /** Number of tasks that are done. */
  doneCount = 0;
  /** When a placement whose task had run was last removed; minus infinity if never. */
  lastRanAt = Number.NEGATIVE_INFINITY;
  /** True once the write of the job's final record is queued (I8). */
  isFinalRecordQueued = false;
  /** Since when scheduling rounds have found no machine for a task of the job. */
  blockedSince: number | null = null;
  /** True if it is the oldest job of a class queue without a task start for some time (see `RoundRobinTurns`). */
  hasRoundRobinTurn = false;
  /** Until when free capacity of machines may be reserved for the job. */
  reservationUntil = 0;
  /** When preemption was last tried for the job; it is not retried immediately. */
  preemptionTriedAt = Number.NEGATIVE_INFINITY;
  /** Tasks are being preempted for the job: no further ones are preempted before this time. */
  preemptionUntil = 0;
  /** For a gang, until when it waits for tasks preempted on machines with its image; null if there were none. */
  imageWaitUntil: number | null = null;
  /** Versions of its placement records (chunks) by key: writes of the chunks are conditioned on them (I5). */
  readonly chunkVersions = new Map<string, number>();
  /** Task count of its smallest chunk. Where chunks overlap, the smaller one is correct, so this never increases. */
  chunkTasks = Number.POSITIVE_INFINITY;
  /** Wall-clock time of the end in ms, as in the final record. */
  endedAt: number | null = null;
  /** Its own priority or, if higher, that of a job that depends on it. */
  effectivePriority: Priority;
  /** Deadline as wall-clock time in ms, from its own deadline or that of a job that depends on it. */
  effectiveDeadlineAt: number | null;
  /** Number of unfinished jobs that depend on it. */
  dependentCount = 0;
  /** False while a dependency is not recorded as done: until then the job is not queued. */
  dependenciesSatisfied: boolean;
  /** Wall-clock time in ms from which its wait is counted: acceptance or, if later, the end of its last dependency. */
  queuedSince: number;
  /** PENDING, PLACED or DONE by task number. */
  readonly #taskStates: Uint8Array;
  /** No task below this number is pending. */
  #firstPendingHint = 0;

  constructor(index: number, spec: JobSpec, acceptedAt: number, version: number) {
    this.index = index;
    this.uid = spec.uid;
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.queuedSince = acceptedAt;
    this.effectivePriority = spec.priority;
    this.effectiveDeadlineAt = spec.deadlineS === null ? null : acceptedAt + spec.deadlineS * 1000;
    this.dependenciesSatisfied = spec.awaits === undefined;
    this.version = version;
    this.#taskStates = new Uint8Array(spec.tasks);
  }

  /** The number of tasks that may be placed now; 0 while dependencies are not satisfied. */
  get pendingCount(): number {
    if (this.state !== "active" || !this.dependenciesSatisfied) return 0;
    // The tasks of a gang are done together, while placements of some of them may not have been reported as ended.
    return Math.max(0, this.spec.tasks - this.doneCount - this.placements.size);
  }

  /** True once all tasks are done. */
  get isComplete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  /** True if the task is done. */
  isDone(task: number): boolean {
    return this.#taskStates[task] === DONE;
  }

  /** Returns the lowest number of a pending task; null if there is none. */
  nextPending(): number | null {
    for (let task = this.#firstPendingHint; task < this.#taskStates.length; task++) {
      if (this.#taskStates[task] === PENDING) {
        this.#firstPendingHint = task;
        return task;
      }
    }
    this.#firstPendingHint = this.#taskStates.length;
    return null;
  }

  /** Must be called only by `ClusterState.addPlacement`. */
  addPlacement(placement: Placement): void {
    this.placements.set(placement.task, placement);
    if (this.#taskStates[placement.task] === PENDING) this.#taskStates[placement.task] = PLACED;
  }

  /** Must be called only by `ClusterState.removePlacement`. The task becomes pending again unless it is done. */
  removePlacement({ task, runningSince }: Placement, now: number): void {
    this.placements.delete(task);
    if (runningSince !== null) this.lastRanAt = now;
    if (this.#taskStates[task] === PLACED) {
      this.#taskStates[task] = PENDING;
      this.#firstPendingHint = Math.min(this.#firstPendingHint, task);
    }
  }

  /** Marks a task as permanently done. Has no effect for out-of-range numbers or tasks that are already done. */
  markDone(task: number): void {
    if (task >= this.#taskStates.length || this.#taskStates[task] === DONE) return;
    this.#taskStates[task] = DONE;
    this.doneCount++;
  }

  /** Returns the number of running tasks, including those that write a checkpoint before they stop. */
  countRunning(): number {
    let count = 0;
    for (const { observedState } of this.placements.values())
      if (observedState === "running" || observedState === "saving") count++;
    return count;
  }

  /** Returns the number of tasks placed in a zone. */
  countInZone(zone: string): number {
    let count = 0;
    for (const { machine } of this.placements.values()) if (machine.zone === zone) count++;
    return count;
  }
}
