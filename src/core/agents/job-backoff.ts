import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Placement } from "../model/placement.js";
import { type FailureAttribution, JOB_FAILURE_MEMORY_MS } from "./failure-attribution.js";

const JOB_BACKOFF_MS = 2000;
const JOB_BACKOFF_MAX_MS = 60_000;
const JOB_BACKOFF_MAX_DOUBLINGS = 10;
/** A replica that ran for this long started well: what failed before it is no longer a reason for backoff. */
const STABLE_RUN_MS = JOB_BACKOFF_MAX_MS;

/**
 * Records a failed task for its job. Failures of a job are forgotten when one of its tasks is done or, as no task of a
 * service ever is, when a replica fails that had run for long.
 */
export function recordJobFailure(ctx: Context, { job, machine, runningSince }: Placement): void {
  const isService = job.spec.shape === "service";
  if (isService && runningSince !== null && ctx.now - runningSince >= STABLE_RUN_MS) {
    recordJobSuccess(job, runningSince + STABLE_RUN_MS);
    job.failedOn.clear();
  }
  for (const [failedMachine, failedAt] of job.failedOn)
    if (ctx.now - failedAt > JOB_FAILURE_MEMORY_MS) job.failedOn.delete(failedMachine);
  job.failedOn.set(machine, ctx.now);
  job.failures++;
}

/** Records that a task of the job was done, or had run for long, at the given time. */
export function recordJobSuccess(job: Job, at: number): void {
  job.succeededAt = at;
  job.failures = 0;
  endBackoff(job);
}

/**
 * Puts a job into exponential backoff if it fails on several machines that are not known to be faulty, so that it does
 * not delay other jobs. Tasks that were started together and fail together count as one try.
 */
export function backOffIfSuspect(ctx: Context, job: Job, attribution: FailureAttribution): void {
  if (job.backoffUntil > ctx.now || !attribution.isSuspect(job)) return;
  const backoffMs = Math.min(JOB_BACKOFF_MAX_MS, JOB_BACKOFF_MS * 2 ** job.backoffDoublings);
  job.backoffDoublings = Math.min(JOB_BACKOFF_MAX_DOUBLINGS, job.backoffDoublings + 1);
  job.backoffUntil = ctx.now + backoffMs;
  ctx.log("debug", "job backed off", { job: job.uid, machines: job.failedOn.size, backoff_ms: backoffMs });
}

/** Ends the backoff of a job, for example because a machine on which it failed is found to be faulty. */
export function endBackoff(job: Job): void {
  job.backoffUntil = 0;
  job.backoffDoublings = 0;
}
