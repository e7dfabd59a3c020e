import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { ExitReason } from "../model/job-spec.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import type { RecordWriter } from "../store/record-writer.js";
import { recordJobFailure, recordJobSuccess } from "./job-backoff.js";
import type { OutlierDetector } from "./outlier-detector.js";

/** For how long similar starts are not tried on a machine that refused one for lack of capacity or an earlier attempt. */
const REFUSED_START_BACKOFF_MS = 2000;
/** Backoff of a job that is unknown to an agent. */
const UNKNOWN_JOB_BACKOFF_MS = 1000;

/** Updates the state of jobs and machines according to how placements ended. */
export class TaskOutcomes {
  readonly #ctx: Context;
  readonly #recordWriter: RecordWriter;
  readonly #outliers: OutlierDetector;

  constructor(ctx: Context, recordWriter: RecordWriter, outliers: OutlierDetector) {
    this.#ctx = ctx;
    this.#recordWriter = recordWriter;
    this.#outliers = outliers;
  }

  /** Applies the outcome of a placement that has ended. */
  apply(placement: Placement, cause: ExitReason | "lost"): void {
    const { job, machine } = placement;
    switch (cause) {
      case "done":
        this.#applyCompletion(placement);
        break;
      case "error":
        this.#applyFailure(placement);
        break;
      case "no_room":
      case "busy":
        this.#recordRefusedStart(job, machine, cause === "no_room");
        break;
      case "unknown":
        job.backoffUntil = Math.max(job.backoffUntil, this.#ctx.now + UNKNOWN_JOB_BACKOFF_MS);
        break;
      case "stopped":
      case "peers":
      case "incomplete":
      case "lost":
        break;
    }
  }

  /** A refusal is evidence about this start only: smaller tasks of other jobs may still fit. */
  #recordRefusedStart(job: Job, machine: Machine, isForCapacity: boolean): void {
    const { now } = this.#ctx;
    machine.refusedStarts = machine.refusedStarts.filter(({ until }) => until > now);
    machine.refusedStarts.push({ job, isForCapacity, until: now + REFUSED_START_BACKOFF_MS });
  }

  #applyCompletion({ job, machine, task, runningSince }: Placement): void {
    const ctx = this.#ctx;
    // A task that may have resumed from a checkpoint is not observed: it may have run for only a part of its duration.
    if (runningSince !== null && (job.spec.checkpointS === 0 || !Number.isFinite(job.lastRanAt)))
      ctx.estimates.observe(job.spec, (ctx.now - runningSince) / 1000);
    if (job.spec.shape === "gang") this.#markGangDone(job);
    else if (job.spec.shape === "array") job.markDone(task);
    recordJobSuccess(job, ctx.now);
    this.#outliers.onTaskDone(machine);
  }

  /** Marks all tasks of a gang as done, as they complete together. */
  #markGangDone(job: Job): void {
    for (let task = 0; task < job.spec.tasks; task++) {
      if (job.isDone(task)) continue;
      job.markDone(task);
      this.#recordWriter.markDirty(job, task, false);
    }
  }

  #applyFailure(placement: Placement): void {
    recordJobFailure(this.#ctx, placement);
    this.#outliers.onTaskFailed(placement.job, placement.machine);
    this.#logFailure(placement);
  }

  /** Logs how widely the job fails and how many jobs fail on the machine: this tells which of the two is at fault. */
  #logFailure({ job, task, machine, runningSince }: Placement): void {
    const { now } = this.#ctx;
    this.#ctx.log("debug", "task failed", {
      job: job.uid,
      task,
      machine: machine.name,
      ran_ms: runningSince === null ? null : Math.round(now - runningSince),
      job_failed_machines: job.failedOn.size,
      job_done: job.doneCount,
      machine_failed_jobs: machine.failedJobs.size,
    });
  }
}
