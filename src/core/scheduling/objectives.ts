import type { Context } from "../context.js";
import type { Job } from "../model/job.js";

/**
 * Fraction of the time to an objective after which the objective is at risk. A job that has missed one
 * objective is deferred until the next one is at risk.
 */
const AT_RISK_FRACTION = 0.6;

/** Status of a job's service-level objectives. The numbers are a sort key: the lowest is scheduled first. */
export const OBJECTIVE_STATUS = {
  /** No objective is missed, or one is missed and the next is at risk. */
  prioritized: 0,
  /** One objective is missed, and there is enough time until the next. */
  deferrable: 1,
  /** All objectives are missed. */
  missed: 2,
} as const;

/** One of the values of {@link OBJECTIVE_STATUS}. */
export type ObjectiveStatus = (typeof OBJECTIVE_STATUS)[keyof typeof OBJECTIVE_STATUS];

/** Returns the wall-clock time, in seconds, since the job's acceptance or the end of its last dependency. */
export function jobAgeS(ctx: Context, job: Job): number {
  return (ctx.wallMs - job.queuedSince) / 1000;
}

/** Returns the shortest start objective of the job's class, in seconds from queueing; null if there is none. */
export function startObjectiveS(ctx: Context, job: Job): number | null {
  let shortestS: number | null = null;
  for (const { kind, jobClass, withinS } of ctx.deployment.objectives) {
    if (kind !== "wait" || jobClass !== job.spec.jobClass || withinS === null) continue;
    if (shortestS === null || withinS < shortestS) shortestS = withinS;
  }
  return shortestS;
}

/** True if the job has a deadline or its class a completion objective. */
export function hasCompletionObjective(ctx: Context, job: Job): boolean {
  if (job.effectiveDeadlineAt !== null) return true;
  return ctx.deployment.objectives.some(
    ({ kind, jobClass }) => kind === "finished" && jobClass === job.spec.jobClass,
  );
}

/** Returns the start objective of jobs within guaranteed quota, in seconds from queueing; null if there is none. */
export function guaranteedStartObjectiveS(ctx: Context): number | null {
  const objective = ctx.deployment.objectives.find(({ kind }) => kind === "guarantee");
  return objective ? (objective.withinS ?? 0) : null;
}

/** Evaluates the deadline of a job of this age and the objectives of its class. */
export function objectiveStatus(ctx: Context, job: Job, ageS: number): ObjectiveStatus {
  const { spec } = job;
  // The tasks of an array start individually, so the start objective applies until none is pending.
  const hasStarted = spec.shape === "array" ? job.pendingCount === 0 : job.countRunning() > 0;
  // Regardless of the number of machines, a job takes at least the run time of one task.
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
  if (!hasMissed) return OBJECTIVE_STATUS.prioritized;
  if (nextDueS === Number.POSITIVE_INFINITY) return OBJECTIVE_STATUS.missed;
  return ageS > nextDueS * AT_RISK_FRACTION ? OBJECTIVE_STATUS.prioritized : OBJECTIVE_STATUS.deferrable;
}

/** Returns the age in seconds by which the job must start to meet its deadline; infinite without a deadline. */
function deadlineDueS({ effectiveDeadlineAt, queuedSince }: Job, taskS: number): number {
  if (effectiveDeadlineAt === null) return Number.POSITIVE_INFINITY;
  return (effectiveDeadlineAt - queuedSince) / 1000 - taskS;
}

/** Returns the age in seconds by which a job must start to meet an objective; infinite if that no longer applies. */
function objectiveDueS(kind: string, withinS: number, taskS: number, hasStarted: boolean): number {
  if (kind === "finished") return withinS - taskS;
  return kind === "wait" && !hasStarted ? withinS : Number.POSITIVE_INFINITY;
}

/**
 * True if the job's next objective is at risk but can still be met. Unless the start objective is still
 * ahead, this is true of every job with the status `prioritized`, even if it has not missed any objective.
 */
export function isDeadlineAtRisk(ctx: Context, job: Job): boolean {
  const ageS = jobAgeS(ctx, job);
  const objectiveS = startObjectiveS(ctx, job);
  if (objectiveS !== null && ageS < objectiveS) return ageS > objectiveS * AT_RISK_FRACTION;
  return objectiveStatus(ctx, job, ageS) === OBJECTIVE_STATUS.prioritized;
}
