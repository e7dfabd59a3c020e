import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Priority } from "../model/job-spec.js";
import { guaranteedStartObjectiveS, jobAgeS } from "./objectives.js";

/** The lowest priority that may preempt. */
const MIN_PREEMPTING_PRIORITY: Priority = 2;
/** A dependency with more slack than this beyond its own run time does not preempt for a dependent's deadline. */
const INHERITED_PRIORITY_SLACK_S = 25;
/** Fraction of the guaranteed start objective for which an array waits before it preempts. */
const ARRAY_DEFERRAL_FRACTION = 0.4;

/**
 * Returns the priority with which a job may preempt others. A priority inherited from a dependent job affects
 * the queue order immediately, but preemption only when that job's deadline is near, because many victims cannot
 * checkpoint.
 */
export function preemptionPriority(
  ctx: Context,
  { spec, effectivePriority, effectiveDeadlineAt }: Job,
): Priority {
  if (effectivePriority === spec.priority || effectiveDeadlineAt === null) return effectivePriority;
  const slackS = (effectiveDeadlineAt - ctx.wallMs) / 1000 - ctx.estimates.estimateS(spec);
  return slackS < INHERITED_PRIORITY_SLACK_S ? effectivePriority : spec.priority;
}

/** True if the job may preempt tasks of lower priority. */
export function mayPreempt(ctx: Context, job: Job): boolean {
  return preemptionPriority(ctx, job) >= MIN_PREEMPTING_PRIORITY;
}

/**
 * True if an array within its guaranteed quota should wait before it preempts. When hundreds of tasks
 * end per second, nearly all of the array starts in time on capacity that becomes free, without lost work.
 */
export function isPreemptionDeferred(ctx: Context, job: Job): boolean {
  if (job.spec.shape !== "array") return false;
  const objectiveS = guaranteedStartObjectiveS(ctx) ?? 0;
  return jobAgeS(ctx, job) < objectiveS * ARRAY_DEFERRAL_FRACTION;
}
