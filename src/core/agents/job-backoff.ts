import type { Context } from "../context.js";
import type { Placement } from "../model/placement.js";
import { JOB_FAILURE_MEMORY_MS } from "./failure-attribution.js";

const JOB_BACKOFF_MS = 2000;
const JOB_BACKOFF_MAX_MS = 60_000;
const JOB_BACKOFF_MAX_DOUBLINGS = 10;
/** A replica that ran for this long started well: what failed before it is no longer a reason for backoff. */
const STABLE_RUN_MS = JOB_BACKOFF_MAX_MS;
/** A job that has failed on this many machines is put into backoff. */
const JOB_BACKOFF_MIN_MACHINES = 2;

/**
 * Counts a failed task for its job. A job that fails on several machines is itself likely to be at fault; exponential
 * backoff keeps it from delaying other jobs. Failures of a job are forgotten when one of its tasks is done or, as no task
 * of a service ever is, when a replica fails that had run for long.
 */
export function recordJobFailure(ctx: Context, { job, machine, runningSince }: Placement): void {
  const isService = job.spec.shape === "service";
  if (isService && runningSince !== null && ctx.now - runningSince >= STABLE_RUN_MS) {
    job.succeededAt = runningSince + STABLE_RUN_MS;
    job.failures = 0;
    job.failedOn.clear();
  }
  job.failures++;
  for (const [failedMachine, failedAt] of job.failedOn)
    if (ctx.now - failedAt > JOB_FAILURE_MEMORY_MS) job.failedOn.delete(failedMachine);
  job.failedOn.set(machine, ctx.now);
  if (job.failedOn.size < JOB_BACKOFF_MIN_MACHINES) return;
  const doublings = Math.min(JOB_BACKOFF_MAX_DOUBLINGS, job.failures - JOB_BACKOFF_MIN_MACHINES);
  const backoffMs = Math.min(JOB_BACKOFF_MAX_MS, JOB_BACKOFF_MS * 2 ** doublings);
  job.backoffUntil = ctx.now + backoffMs;
  ctx.log("debug", "job backed off", { job: job.uid, failures: job.failures, backoff_ms: backoffMs });
}
