import type { JobSpec, Priority } from "./job-spec.js";
import type { Placement } from "./placement.js";

/** A job's state: "active" until it is cancelled or all of its tasks are done. */
export type JobState = "active" | "cancelled" | "done";

/** The states of a task, in one byte each. */
const PENDING = 0;
const PLACED = 1;
const DONE = 2;

/**
 * An unfinished job in the leader's cluster state. Each of its tasks is pending, placed or done; placements come and go
 * through `ClusterState` alone, which keeps machines and quotas in step.
 */
export class Job {
  /** The interner's index of its uid. */
  readonly index: number;
  readonly uid: string;
  readonly spec: JobSpec;
  /** Wall time of its submission, in ms. */
  readonly acceptedAt: number;
  /** The version of its key: writes of it depend on that (I5). */
  version: number;
  state: JobState = "active";
  /** No task of it is placed before this time, after failures. */
  backoffUntil = 0;
  /** Preemption-protected until then against all but production jobs, since it waited long before it began. */
  protectedUntil = 0;
  /** Why tasks of it are pending as of the last scheduling round, in words for the operators. */
  pendingReason: string | null = null;
  /** The pending reasons logged so far: reasons alternate from round to round, and each is logged once. */
  readonly loggedReasons = new Set<string>();
  /** True if a record of its placements can't be read: no task of it may be started, as any may be running. */
  hasUnreadableRecord = false;
  /** Failed tasks since a task was last done. */
  failures = 0;
  /** Indices of the machines on which tasks of it have failed. */
  readonly failedMachines = new Set<number>();
  /** The active placements by task number. */
  readonly placements = new Map<number, Placement>();
  /** How many tasks are done. */
  doneCount = 0;
  /** When the last placement of a task that ran was removed; minus infinity if none was. */
  lastRanAt = Number.NEGATIVE_INFINITY;
  /** True once the write that ends it is queued (I8). */
  isFinalRecordQueued = false;
  /** Since when scheduling rounds have found no place for a task of it. */
  blockedSince: number | null = null;
  /** True if no job of its class and team has begun for some time, and it is the oldest of them. */
  hasRoundRobinTurn = false;
  /** Machines' free capacity may be reserved for it until then. */
  reservationUntil = 0;
  /** When preemption was last tried for it in vain: it is not tried again at once. */
  preemptionTriedAt = Number.NEGATIVE_INFINITY;
  /** Tasks are being preempted for it: no more are before this time. */
  preemptionUntil = 0;
  /** For a gang, until when it waits for capacity on machines that cache its image; null if it has not tried. */
  imageWaitUntil: number | null = null;
  /** The versions of its placement records (chunks) by key: writes of them depend on these (I5). */
  readonly chunkVersions = new Map<string, number>();
  /** Tasks in the smallest of its chunks: where chunks overlap the smaller one is right, so none may grow again. */
  chunkTasks = Number.POSITIVE_INFINITY;
  /** Wall time of its end in ms, as in its final record. */
  endedAt: number | null = null;
  /** Its own priority or, if higher, that of a job that depends on it. */
  effectivePriority: Priority;
  /** Wall time in ms by which it should be done, for its own deadline or for one of a job that depends on it. */
  effectiveDeadlineAt: number | null;
  /** How many unfinished jobs depend on it. */
  dependentCount = 0;
  /** False while a job that it depends on is not on record as done: until then it is not queued. */
  dependenciesSatisfied: boolean;
  /** Wall time in ms from which its waiting counts: its acceptance or, if later, the end of its last dependency. */
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

  /** How many tasks may be placed now: none while dependencies are not satisfied. */
  get pendingCount(): number {
    return this.state === "active" && this.dependenciesSatisfied
      ? this.spec.tasks - this.doneCount - this.placements.size
      : 0;
  }

  /** True once all tasks are done. */
  get isComplete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  /** True if the task is done. */
  isDone(task: number): boolean {
    return this.#taskStates[task] === DONE;
  }

  /** The lowest number of a pending task; null if there is none. */
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

  /** Called by `ClusterState.addPlacement` alone. */
  addPlacement(placement: Placement): void {
    this.placements.set(placement.task, placement);
    if (this.#taskStates[placement.task] === PENDING) this.#taskStates[placement.task] = PLACED;
  }

  /** Called by `ClusterState.removePlacement` alone: the task is pending again, unless it is done. */
  removePlacement({ task, runningSince }: Placement, now: number): void {
    this.placements.delete(task);
    if (runningSince !== null) this.lastRanAt = now;
    if (this.#taskStates[task] === PLACED) {
      this.#taskStates[task] = PENDING;
      this.#firstPendingHint = Math.min(this.#firstPendingHint, task);
    }
  }

  /** Marks a task as done for good. Numbers beyond the job's tasks, and repeats, have no effect. */
  markDone(task: number): void {
    if (task >= this.#taskStates.length || this.#taskStates[task] === DONE) return;
    this.#taskStates[task] = DONE;
    this.doneCount++;
  }

  /** How many tasks are running, those that write a checkpoint before they stop included. */
  countRunning(): number {
    let count = 0;
    for (const { observedState } of this.placements.values())
      if (observedState === "running" || observedState === "saving") count++;
    return count;
  }

  /** How many tasks are placed in a zone. */
  countInZone(zone: string): number {
    let count = 0;
    for (const { machine } of this.placements.values()) if (machine.zone === zone) count++;
    return count;
  }
}
