import type { RoundRobinTurns } from "../../admission/round-robin-turns.js";
import { recordImageFetch } from "../agents/image-caches.js";
import type { Context } from "../context.js";
import { attemptNumber, isValidCounter } from "../model/attempt-number.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import type { RecordWriter } from "../store/record-writer.js";
import { isStarving } from "./queue-order.js";

/** For how long a job that was starving when a task of it was placed is protected from preemption. */
const STARVED_PROTECTION_MS = 60_000;

/** What {@link TaskPlacer} works with. */
export interface TaskPlacerDependencies {
  readonly ctx: Context;
  readonly leaderLease: LeaderLease;
  readonly clusterState: ClusterState;
  readonly recordWriter: RecordWriter;
  /** Null where fair admission is off. */
  readonly turns: RoundRobinTurns | null;
}

/** Binds tasks to machines and numbers their attempts. */
export class TaskPlacer {
  readonly #ctx: Context;
  readonly #leaderLease: LeaderLease;
  readonly #clusterState: ClusterState;
  readonly #recordWriter: RecordWriter;
  readonly #turns: RoundRobinTurns | null;
  /** The last attempt numbered under `#counterFencingToken`. */
  #attemptCounter = 0;
  #counterFencingToken = 0;

  constructor({ ctx, leaderLease, clusterState, recordWriter, turns }: TaskPlacerDependencies) {
    this.#ctx = ctx;
    this.#leaderLease = leaderLease;
    this.#clusterState = clusterState;
    this.#recordWriter = recordWriter;
    this.#turns = turns;
  }

  /**
   * Is an attempt number left under the present fencing token? The counter starts anew under each token, so
   * that a long term never runs out of numbers.
   */
  hasAttempts(): boolean {
    if (this.#counterFencingToken !== this.#leaderLease.fencingToken) {
      this.#counterFencingToken = this.#leaderLease.fencingToken;
      this.#attemptCounter = 0;
    }
    return isValidCounter(this.#attemptCounter + 1);
  }

  /** The next attempt number; a gang's tasks share one. Throws a RangeError where none is left. */
  nextAttempt(): number {
    if (!this.hasAttempts()) throw new RangeError("no attempts are left under this token");
    this.#attemptCounter++;
    return attemptNumber(this.#leaderLease.fencingToken, this.#attemptCounter);
  }

  /**
   * Binds a task to a machine in the cluster state and queues the placement for its record. The start command
   * is sent only once the placement is recorded (I2); from now on the placement holds its task, zone,
   * capacity and quota (I3).
   */
  place(job: Job, task: number, machine: Machine, attempt = this.nextAttempt()): Placement {
    const { now } = this.#ctx;
    // A job that starts as it is starving would make no progress if what it overtook preempted it at once.
    if (isStarving(this.#ctx, job)) job.protectedUntil = now + STARVED_PROTECTION_MS;
    const placement: Placement = {
      job,
      task,
      machine,
      incarnation: machine.incarnation,
      attempt,
      priority: job.effectivePriority,
      isRecorded: false,
      notCancelledAsOf: Number.NEGATIVE_INFINITY,
      placedAt: now,
      observedState: null,
      startSentUnder: 0,
      startSentAt: Number.NEGATIVE_INFINITY,
      runningSince: null,
      stop: null,
    };
    this.#clusterState.addPlacement(placement);
    this.#turns?.onStarted(job, this.#ctx.wallMs);
    job.blockedSince = null;
    const image = machine.images.get(job.spec.image);
    if (image) image.usedAt = now;
    else recordImageFetch(this.#ctx, machine, job);
    this.#recordWriter.markDirty(job, task, true);
    return placement;
  }
}
