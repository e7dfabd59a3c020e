import type { Context } from "./context.js";
import type { Job } from "./tables.js";

/** When, in seconds after its acceptance, a job is of less use: its deadline, or the next aim of its class. */
function dueS(ctx: Context, job: Job, ageS: number): number | null {
  let due = job.spec.deadlineS !== null && job.spec.deadlineS > ageS ? job.spec.deadlineS : null;
  for (const { kind, jobClass, withinS } of ctx.deployment.objectives) {
    if (kind !== "finished" || jobClass !== job.spec.jobClass || withinS === null || withinS <= ageS)
      continue;
    if (due === null || withinS < due) due = withinS;
  }
  return due;
}

/** The shortest time within which the operators want tasks of this job's class to start. */
export function waitAimS(ctx: Context, job: Job): number | null {
  let least: number | null = null;
  for (const { kind, jobClass, withinS } of ctx.deployment.objectives) {
    if (kind !== "wait" || jobClass !== job.spec.jobClass || withinS === null) continue;
    if (least === null || withinS < least) least = withinS;
  }
  return least;
}

export function hasAim(ctx: Context, job: Job): boolean {
  if (job.spec.deadlineS !== null) return true;
  return ctx.deployment.objectives.some((o) => o.kind === "finished" && o.jobClass === job.spec.jobClass);
}

/** Seconds of task time that are left, by the owner's estimate. */
function leftS(job: Job): number {
  return (job.spec.tasks - job.doneCount) * Math.max(1, job.spec.estimateS);
}

/**
 * The order in which waiting jobs are served: by priority and whether its team's guarantee covers it,
 * then what can still be in time, then the shortest first, which gets the most jobs done in time.
 */
export function inOrder(ctx: Context, jobs: readonly Job[], guaranteed: ReadonlySet<Job>): Job[] {
  const wallNow = ctx.wallMs;
  const keyed = jobs.map((job) => {
    const ageS = (wallNow - job.acceptedAt) / 1000;
    const due = dueS(ctx, job, ageS);
    // Alone on as many machines as it likes, a job takes at least one task's time.
    const late = hasAim(ctx, job) && (due === null || ageS + job.spec.estimateS > due);
    return {
      job,
      rank: job.spec.priority * 2 + (guaranteed.has(job) ? 3 : 0),
      late: late ? 1 : 0,
      left: job.spec.shape === "array" ? leftS(job) : 0,
    };
  });
  keyed.sort(
    (a, b) =>
      b.rank - a.rank ||
      a.late - b.late ||
      a.left - b.left ||
      a.job.acceptedAt - b.job.acceptedAt ||
      a.job.ix - b.job.ix,
  );
  return keyed.map(({ job }) => job);
}
