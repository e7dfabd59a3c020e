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

/** How long a job is protected from preemption after placing a task while starving. */
const STARVED_PROTECTION_MS = 60_000;

/** The dependencies of {@link TaskPlacer}. */
export interface TaskPlacerDependencies {
  readonly ctx: Context;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly recordWriter: RecordWriter;
  /** Null if fair admission is disabled. */
  readonly turns: RoundRobinTurns | null;
}

/** Binds tasks to machines and assigns attempt numbers. */
export class TaskPlacer {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  readonly #recordWriter: RecordWriter;
  readonly #turns: RoundRobinTurns | null;
  /** The counter of the last attempt number assigned under `#counterFencingToken`. */
  #attemptCounter = 0;
  #counterFencingToken = 0;

  constructor({ ctx, lease, cluster, recordWriter, turns }: TaskPlacerDependencies) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#cluster = cluster;
    this.#recordWriter = recordWriter;
    this.#turns = turns;
  }

  /**
   * True if an attempt number is left under the current fencing token. Each token restarts the counter,
   * so that a long term never runs out of numbers.
   */
  hasAttempts(): boolean {
    if (this.#counterFencingToken !== this.#lease.fencingToken) {
      this.#counterFencingToken = this.#lease.fencingToken;
      this.#attemptCounter = 0;
    }
    return isValidCounter(this.#attemptCounter + 1);
  }

  /** Returns the next attempt number; the tasks of a gang share one. Throws a RangeError if none is left. */
  nextAttempt(): number {
    if (!this.hasAttempts())
      throw new RangeError("no attempt number is left under the current fencing token");
    this.#attemptCounter++;
    return attemptNumber(this.#lease.fencingToken, this.#attemptCounter);
  }

  /**
   * Binds a task to a machine in the cluster state and queues the record write. The start command is sent only
   * after the placement is recorded (I2). The task, zone, capacity and quota are in use from now on (I3).
   */
  place(job: Job, task: number, machine: Machine, attempt = this.nextAttempt()): Placement {
    const { now } = this.#ctx;
    // Without protection, jobs that a starving job has overtaken could preempt it before it makes progress.
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
    this.#cluster.addPlacement(placement);
    this.#turns?.onStarted(job, this.#ctx.wallMs);
    job.blockedSince = null;
    const image = machine.images.get(job.spec.image);
    if (image) image.usedAt = now;
    else recordImageFetch(this.#ctx, machine, job);
    this.#recordWriter.markDirty(job, task, true);
    return placement;
  }
}
