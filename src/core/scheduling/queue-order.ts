import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Priority } from "../model/job-spec.js";

/** The part of an aim's time after which a job that has missed an earlier one is hurried again. */
const HURRY_PART = 0.6;
/** For this long guaranteed work goes before more important work, if the operators have an aim for its start. */
const GUARANTEE_S = 60;

/** After this long with nothing on a machine a job goes before its betters, whatever aims it has missed. */
const AGED_S = 160;
/** A job is to begin within four minutes. From here on, its image to be fetched, it hardly can. */
const TOO_LATE_S = 200;
/** What has missed that waits behind what can still make it, but not for ever. */
const RESCUED_S = 420;
/** From this priority on lesser work makes room. */
const IMPORTANT = 2;
/** Above all but guaranteed production work. */
const AGED_RANK = 8;

/**
 * Shortest first and hopeless last let the largest jobs wait for ever under constant overload; with this each begins
 * within minutes. The wait counts from what is on record, so that it survives a change of leader.
 */
export function isStarving(ctx: Context, job: Job): boolean {
  return job.hasRoundRobinTurn || waitedS(ctx, job) > AGED_S;
}

/** How long nothing of a job has been on a machine. */
function waitedS(ctx: Context, job: Job): number {
  if (job.placements.size > 0) return 0;
  return Math.min(ctx.wallMs - job.queuedSince, ctx.now - job.lastRanAt) / 1000;
}

/**
 * True for an aged job that can't begin in time any more. With more aged work than room, first come first served would
 * let every one of them begin too late.
 */
export function hasMissedStartDeadline(ctx: Context, job: Job): boolean {
  const s = waitedS(ctx, job);
  return s > TOO_LATE_S && s <= RESCUED_S;
}

/** How much a job's aims press: 0 the next one can be met, 1 it has time after a missed one, 2 all are missed. */
function pressure(ctx: Context, job: Job, ageS: number): 0 | 1 | 2 {
  const { spec } = job;
  // The tasks of an array begin one by one: those that still wait have an aim of their own, and may have missed it.
  const started = spec.shape === "array" ? job.pending === 0 : job.countRunning() > 0;
  let next: number | null = null;
  let missed = false;
  const consider = (dueS: number) => {
    if (dueS <= ageS) missed = true;
    else if (next === null || dueS < next) next = dueS;
  };
  // Alone on as many machines as it likes, a job takes at least one task's time.
  const taskS = ctx.estimates.estimateS(spec);
  if (job.effectiveDeadlineAt !== null) consider((job.effectiveDeadlineAt - job.queuedSince) / 1000 - taskS);
  for (const { kind, jobClass, withinS } of ctx.deployment.objectives) {
    if (jobClass !== spec.jobClass || withinS === null) continue;
    if (kind === "finished") consider(withinS - taskS);
    else if (kind === "wait" && !started) consider(withinS);
  }
  if (!missed) return 0;
  if (next === null) return 2;
  return ageS > next * HURRY_PART ? 0 : 1;
}

/** True for a job that can still meet its next aim, but has used up a good part of its time. */
export function isDeadlineAtRisk(ctx: Context, job: Job): boolean {
  const ageS = (ctx.wallMs - job.queuedSince) / 1000;
  const withinS = startObjectiveS(ctx, job);
  if (withinS !== null && ageS < withinS) return ageS > withinS * HURRY_PART;
  return pressure(ctx, job, ageS) === 0;
}

/** A job before an important one that has this much time left beyond its own waits for places that come free. */
const SLACK_S = 25;

/**
 * The priority with which a job may have others stopped. What is important only because of a job that waits for it goes
 * first in any case; it stops others only when the time to that job's deadline gets short, as what is stopped often can't
 * save.
 */
export function preemptionPriority(
  ctx: Context,
  { spec, effectivePriority: priority, effectiveDeadlineAt: dueAt }: Job,
): Priority {
  if (priority === spec.priority || dueAt === null) return priority;
  const slackS = (dueAt - ctx.wallMs) / 1000 - ctx.estimates.estimateS(spec);
  return slackS < SLACK_S ? priority : spec.priority;
}

/** Is the job so important that lesser work makes room? */
export function mayPreempt(ctx: Context, job: Job): boolean {
  return preemptionPriority(ctx, job) >= IMPORTANT;
}

/** The shortest time within which the operators want tasks of this job's class to start. */
export function startObjectiveS(ctx: Context, job: Job): number | null {
  let least: number | null = null;
  for (const { kind, jobClass, withinS } of ctx.deployment.objectives) {
    if (kind !== "wait" || jobClass !== job.spec.jobClass || withinS === null) continue;
    if (least === null || withinS < least) least = withinS;
  }
  return least;
}

export function hasCompletionObjective(ctx: Context, job: Job): boolean {
  if (job.effectiveDeadlineAt !== null) return true;
  return ctx.deployment.objectives.some((o) => o.kind === "finished" && o.jobClass === job.spec.jobClass);
}

/** The time within which the operators want guaranteed work to start; null where they have no such aim. */
export function guaranteedStartObjectiveS(ctx: Context): number | null {
  const aim = ctx.deployment.objectives.find((o) => o.kind === "guarantee");
  return aim ? (aim.withinS ?? 0) : null;
}

/**
 * What is within its team's guarantee goes before more important work for some time after its acceptance;
 * later it only goes before its equals.
 */
function guaranteeBoost(ctx: Context, ageS: number): number {
  const aimS = guaranteedStartObjectiveS(ctx) ?? 0;
  return ageS <= Math.max(GUARANTEE_S, aimS) ? 3 : 1;
}

/**
 * A guaranteed array waits this part of the aim for places that come free by themselves before lesser work is stopped
 * for it: where hundreds of tasks end in a second nearly all of it begins in time, and nothing is thrown away.
 */
const PATIENCE_PART = 0.4;

export function isPreemptionDeferred(ctx: Context, job: Job): boolean {
  if (job.spec.shape !== "array") return false;
  const aimS = guaranteedStartObjectiveS(ctx) ?? 0;
  return (ctx.wallMs - job.queuedSince) / 1000 < aimS * PATIENCE_PART;
}

/** Seconds of task time that are left, by the corrected estimate. */
function leftS(ctx: Context, job: Job): number {
  return (job.spec.tasks - job.doneCount) * Math.max(1, ctx.estimates.estimateS(job.spec));
}

/**
 * The order in which waiting jobs are served: by priority and whether its team's guarantee covers it,
 * then what can still be in time, then the shortest first, which gets the most jobs done in time. What has waited
 * for too long goes first.
 */
export function sortQueue(
  ctx: Context,
  jobs: readonly Job[],
  guaranteed: ReadonlySet<Job>,
  /** The place of each job among those of its class and team; all alike where turns don't count. */
  places: ReadonlyMap<Job, number>,
): Job[] {
  const wallNow = ctx.wallMs;
  const keyed = jobs.map((job) => {
    const ageS = (wallNow - job.queuedSince) / 1000;
    const rank = job.effectivePriority * 2 + (guaranteed.has(job) ? guaranteeBoost(ctx, ageS) : 0);
    if (isStarving(ctx, job))
      return {
        job,
        rank: Math.max(rank, AGED_RANK),
        late: hasMissedStartDeadline(ctx, job) ? 1 : 0,
        left: places.get(job) ?? 0,
      };
    return {
      job,
      rank,
      late: pressure(ctx, job, ageS),
      left: job.spec.shape === "service" ? 0 : leftS(ctx, job),
    };
  });
  keyed.sort(
    (a, b) =>
      b.rank - a.rank ||
      a.late - b.late ||
      a.left - b.left ||
      a.job.queuedSince - b.job.queuedSince ||
      a.job.index - b.job.index,
  );
  return keyed.map(({ job }) => job);
}
