import type { JobSpec, Priority } from "./job-spec.js";
import type { Placement } from "./placement.js";

export type JobState = "active" | "cancelled" | "done";

const PENDING = 0;
const HELD = 1;
const DONE = 2;

/** An unfinished job as its leader knows it. */
export class Job {
  readonly index: number;
  readonly uid: string;
  readonly spec: JobSpec;
  readonly acceptedAt: number;
  version: number;
  state: JobState = "active";
  /** Nothing of this job starts before this time (after failures). */
  backoffUntil = 0;
  /** Until then it is not stopped for anything but production work: it waited too long to begin. */
  protectedUntil = 0;
  /** Why some of its tasks wait, in words for the operators, as of the last round. */
  pendingReason: string | null = null;
  /** The reasons that the log has told: reasons alternate from round to round, and told each time they were most of it. */
  readonly loggedReasons = new Set<string>();
  /** A record of its placements can't be read: nothing of it may be started, as it may be running. */
  hasUnreadableRecord = false;
  failures = 0;
  readonly failedMachines = new Set<number>();
  readonly placements = new Map<number, Placement>();
  doneCount = 0;
  /** When the last of its tasks that ran left its machine. */
  lastRanAt = Number.NEGATIVE_INFINITY;
  isFinalRecordQueued = false;
  blockedSince: number | null = null;
  /** Nothing of its class and team has begun for some time, and of these jobs it is the oldest. */
  hasRoundRobinTurn = false;
  /** Some machine's room may be kept for it until then. */
  reservationUntil = 0;
  /** When it was last looked into what might be stopped for it, in vain: not again at once. */
  preemptionTriedAt = Number.NEGATIVE_INFINITY;
  /** Room is being made for it: no more lesser work is stopped for it before this time. */
  preemptionUntil = 0;
  /** A gang: until when it waits for that room where its image is; null if it has not tried. */
  imageWaitUntil: number | null = null;
  /** The versions of the records of its placements, by key. */
  readonly chunkVersions = new Map<string, number>();
  /** The size of the smallest of these records: smaller chunks are right where larger ones overlap, so none grows again. */
  chunkTasks = Number.POSITIVE_INFINITY;
  /** Wall time of its end, as the final record has it. */
  endedAt: number | null = null;
  /** What it counts as: its own priority or, if higher, that of a job that waits for it. */
  effectivePriority: Priority;
  /** Wall time by which it should be done: by its own deadline, or for a job that waits for it to meet its own. */
  effectiveDeadlineAt: number | null;
  /** How many unfinished jobs name it among those that they wait for. */
  dependentCount = 0;
  /** False while jobs that it needs are not on record as done: until then it counts for nothing but a question. */
  dependenciesSatisfied: boolean;
  /** Wall time from which its waits count: its acceptance or, if later, the end of the last job that it needs. */
  queuedSince: number;
  readonly #status: Uint8Array;
  #hint = 0;

  constructor(ix: number, spec: JobSpec, acceptedAt: number, version: number) {
    this.index = ix;
    this.uid = spec.uid;
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.queuedSince = acceptedAt;
    this.effectivePriority = spec.priority;
    this.effectiveDeadlineAt = spec.deadlineS === null ? null : acceptedAt + spec.deadlineS * 1000;
    this.dependenciesSatisfied = spec.awaits === undefined;
    this.version = version;
    this.#status = new Uint8Array(spec.tasks);
  }

  get pending(): number {
    return this.state === "active" && this.dependenciesSatisfied
      ? this.spec.tasks - this.doneCount - this.placements.size
      : 0;
  }

  get isComplete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  isDone(task: number): boolean {
    return this.#status[task] === DONE;
  }

  nextPending(): number | null {
    for (let i = this.#hint; i < this.#status.length; i++) {
      if (this.#status[i] === PENDING) {
        this.#hint = i;
        return i;
      }
    }
    this.#hint = this.#status.length;
    return null;
  }

  addPlacement(placement: Placement): void {
    this.placements.set(placement.task, placement);
    if (this.#status[placement.task] === PENDING) this.#status[placement.task] = HELD;
  }

  removePlacement({ task, runningSince }: Placement, now: number): void {
    this.placements.delete(task);
    if (runningSince !== null) this.lastRanAt = now;
    if (this.#status[task] === HELD) {
      this.#status[task] = PENDING;
      this.#hint = Math.min(this.#hint, task);
    }
  }

  markDone(task: number): void {
    if (task >= this.#status.length || this.#status[task] === DONE) return;
    this.#status[task] = DONE;
    this.doneCount++;
  }

  countRunning(): number {
    let n = 0;
    for (const p of this.placements.values())
      if (p.observedState === "running" || p.observedState === "saving") n++;
    return n;
  }

  /** How many of its tasks may be in each zone at this moment. */
  countInZone(zone: string): number {
    let n = 0;
    for (const p of this.placements.values()) if (p.machine.zone === zone) n++;
    return n;
  }
}
