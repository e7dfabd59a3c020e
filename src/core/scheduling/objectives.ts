import type { Context } from "../context.js";
import type { Job } from "../model/job.js";

/**
 * The part of the time to an objective after which it is at risk. A job that has missed one objective is
 * pursued again only from then on.
 */
const AT_RISK_PART = 0.6;

/** How a job stands to its service-level objectives. The numbers are a sort key: the lowest is served first. */
export const OBJECTIVE_STANDING = {
  /** None is missed, or one is and the next is at risk. */
  pursued: 0,
  /** One is missed, and there is ample time to the next. */
  deferrable: 1,
  /** All are missed. */
  missed: 2,
} as const;

/** One of the values of {@link OBJECTIVE_STANDING}. */
export type ObjectiveStanding = (typeof OBJECTIVE_STANDING)[keyof typeof OBJECTIVE_STANDING];

/** Seconds of wall time since the job was queued: since its acceptance or the end of its last dependency. */
export function jobAgeS(ctx: Context, job: Job): number {
  return (ctx.wallMs - job.queuedSince) / 1000;
}

/** The shortest start objective of this job's class, in seconds from queueing; null if there is none. */
export function startObjectiveS(ctx: Context, job: Job): number | null {
  let shortestS: number | null = null;
  for (const { kind, jobClass, withinS } of ctx.deployment.objectives) {
    if (kind !== "wait" || jobClass !== job.spec.jobClass || withinS === null) continue;
    if (shortestS === null || withinS < shortestS) shortestS = withinS;
  }
  return shortestS;
}

/** Does the job have a deadline, or its class an objective for its completion? */
export function hasCompletionObjective(ctx: Context, job: Job): boolean {
  if (job.effectiveDeadlineAt !== null) return true;
  return ctx.deployment.objectives.some(
    ({ kind, jobClass }) => kind === "finished" && jobClass === job.spec.jobClass,
  );
}

/** The start objective of jobs within their guaranteed quota, in seconds from queueing; null if there is none. */
export function guaranteedStartObjectiveS(ctx: Context): number | null {
  const objective = ctx.deployment.objectives.find(({ kind }) => kind === "guarantee");
  return objective ? (objective.withinS ?? 0) : null;
}

/** Where a job of this age stands to its deadline and the objectives of its class. */
export function objectiveStanding(ctx: Context, job: Job, ageS: number): ObjectiveStanding {
  const { spec } = job;
  // The tasks of an array start one by one: the pending ones have a start objective of their own.
  const hasStarted = spec.shape === "array" ? job.pendingCount === 0 : job.countRunning() > 0;
  // However many machines a job gets, it takes at least the time of one task.
  const taskS = ctx.estimates.estimateS(spec);
  const deadlineS = deadlineDueS(job, taskS);
  let hasMissed = deadlineS <= ageS;
  let nextDueS = hasMissed ? Number.POSITIVE_INFINITY : deadlineS;
  for (const { kind, jobClass, withinS } of ctx.deployment.objectives) {
    if (jobClass !== spec.jobClass || withinS === null) continue;
    const dueS = objectiveDueS(kind, withinS, taskS, hasStarted);
    if (dueS <= ageS) hasMissed = true;
    else if (dueS < nextDueS) nextDueS = dueS;
  }
  if (!hasMissed) return OBJECTIVE_STANDING.pursued;
  if (nextDueS === Number.POSITIVE_INFINITY) return OBJECTIVE_STANDING.missed;
  return ageS > nextDueS * AT_RISK_PART ? OBJECTIVE_STANDING.pursued : OBJECTIVE_STANDING.deferrable;
}

/** The age in seconds at which the job must start for its deadline; infinite without one. */
function deadlineDueS({ effectiveDeadlineAt, queuedSince }: Job, taskS: number): number {
  if (effectiveDeadlineAt === null) return Number.POSITIVE_INFINITY;
  return (effectiveDeadlineAt - queuedSince) / 1000 - taskS;
}

/** The age in seconds at which a job must start for an objective of its class; infinite where that is settled. */
function objectiveDueS(kind: string, withinS: number, taskS: number, hasStarted: boolean): number {
  if (kind === "finished") return withinS - taskS;
  return kind === "wait" && !hasStarted ? withinS : Number.POSITIVE_INFINITY;
}

/** Is the next objective of the job at risk, though it can still be met? */
export function isDeadlineAtRisk(ctx: Context, job: Job): boolean {
  const ageS = jobAgeS(ctx, job);
  const objectiveS = startObjectiveS(ctx, job);
  if (objectiveS !== null && ageS < objectiveS) return ageS > objectiveS * AT_RISK_PART;
  return objectiveStanding(ctx, job, ageS) === OBJECTIVE_STANDING.pursued;
}
