import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Priority } from "../model/job-spec.js";
import { guaranteedStartObjectiveS, jobAgeS } from "./objectives.js";

/** Jobs of this priority and above may preempt. */
const MIN_PREEMPTING_PRIORITY: Priority = 2;
/** With more time than this beyond its own run time a dependency doesn't preempt for its dependents' deadline. */
const INHERITED_PRIORITY_SLACK_S = 25;
/** The part of the guaranteed start objective for which an array waits before it preempts. */
const ARRAY_DEFERRAL_PART = 0.4;

/**
 * The priority with which a job may preempt others. A priority inherited from a dependent job counts in the
 * queue order at once, but in preemption only when the time to that job's deadline gets short: many victims
 * can't checkpoint.
 */
export function preemptionPriority(
  ctx: Context,
  { spec, effectivePriority, effectiveDeadlineAt }: Job,
): Priority {
  if (effectivePriority === spec.priority || effectiveDeadlineAt === null) return effectivePriority;
  const slackS = (effectiveDeadlineAt - ctx.wallMs) / 1000 - ctx.estimates.estimateS(spec);
  return slackS < INHERITED_PRIORITY_SLACK_S ? effectivePriority : spec.priority;
}

/** May the job preempt tasks of lower priority? */
export function mayPreempt(ctx: Context, job: Job): boolean {
  return preemptionPriority(ctx, job) >= MIN_PREEMPTING_PRIORITY;
}

/**
 * Does an array within its guaranteed quota still wait before it preempts? Where hundreds of tasks end in a
 * second, nearly all of it starts in time on capacity that frees up by itself, and no work is lost.
 */
export function isPreemptionDeferred(ctx: Context, job: Job): boolean {
  if (job.spec.shape !== "array") return false;
  const objectiveS = guaranteedStartObjectiveS(ctx) ?? 0;
  return jobAgeS(ctx, job) < objectiveS * ARRAY_DEFERRAL_PART;
}
