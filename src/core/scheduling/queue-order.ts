import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import { guaranteedStartObjectiveS, jobAgeS, objectiveStatus } from "./objectives.js";

/** A job is starving once none of its tasks has had a machine for longer than this. */
const STARVING_AFTER_S = 160;
/**
 * A job should start within 240 s of its acceptance. After waiting this long it is unlikely to, because its image
 * must still be fetched.
 */
const START_UNATTAINABLE_AFTER_S = 200;
/** A job that has missed its start is no longer deferred after this wait, so that it cannot starve indefinitely. */
const START_DEFERRED_UNTIL_S = 420;

/** The minimum rank of a starving job: above all but new guaranteed jobs of the highest priority. */
const STARVING_RANK = 8;
/** Rank added per priority level. */
const RANKS_PER_PRIORITY = 2;
/** Rank added for a new job within its guaranteed quota: more than one priority level. */
const NEW_GUARANTEED_BOOST = 3;
/** Rank added for an older job within its guaranteed quota: less than one priority level. */
const GUARANTEED_BOOST = 1;
/** A guaranteed job counts as new for this long, or until its start objective if that is later. */
const NEW_GUARANTEED_S = 60;

/** A job and its sort keys. Lower values sort first, except for the rank. */
interface QueueEntry {
  readonly job: Job;
  /** Computed from priority, guaranteed quota and aging; higher sorts first. */
  readonly rank: number;
  /** An `ObjectiveStatus`; for a starving job, 1 if it has missed its start, else 0. */
  readonly objectiveStatus: number;
  /** Remaining work in seconds of task time; for a starving job, its position in its class queue. */
  readonly workOrPosition: number;
}

/**
 * True if the job is starving. Aging bounds the wait under constant overload, where scheduling the
 * shortest jobs first and missed objectives last would never start the largest jobs. The wait is computed from
 * recorded times, so that it survives a failover.
 */
export function isStarving(ctx: Context, job: Job): boolean {
  return job.hasRoundRobinTurn || waitS(ctx, job) > STARVING_AFTER_S;
}

/** Returns the seconds for which no task of the job has had a machine. */
function waitS(ctx: Context, job: Job): number {
  if (job.placements.size > 0) return 0;
  return Math.min(ctx.wallMs - job.queuedSince, ctx.now - job.lastRanAt) / 1000;
}

/**
 * True if a starving job has missed its start and is deferred, for a limited time, behind jobs that can
 * still start in time. With more starving jobs than capacity, first-come, first-served order would start all of
 * them too late.
 */
export function hasMissedStartDeadline(ctx: Context, job: Job): boolean {
  const waitedS = waitS(ctx, job);
  return waitedS > START_UNATTAINABLE_AFTER_S && waitedS <= START_DEFERRED_UNTIL_S;
}

/**
 * Returns the rank added for being within the guaranteed quota: a new job precedes jobs of the next higher
 * priority, an older one only jobs of its own priority.
 */
function guaranteedBoost(ctx: Context, ageS: number): number {
  const objectiveS = guaranteedStartObjectiveS(ctx) ?? 0;
  return ageS <= Math.max(NEW_GUARANTEED_S, objectiveS) ? NEW_GUARANTEED_BOOST : GUARANTEED_BOOST;
}

/** Returns the remaining work in seconds of task time, by the corrected estimate. */
function remainingWorkS(ctx: Context, job: Job): number {
  return (job.spec.tasks - job.doneCount) * Math.max(1, ctx.estimates.estimateS(job.spec));
}

function queueEntry(
  ctx: Context,
  job: Job,
  isGuaranteed: boolean,
  turnPositions: ReadonlyMap<Job, number>,
): QueueEntry {
  const ageS = jobAgeS(ctx, job);
  const rank = job.effectivePriority * RANKS_PER_PRIORITY + (isGuaranteed ? guaranteedBoost(ctx, ageS) : 0);
  if (isStarving(ctx, job))
    return {
      job,
      rank: Math.max(rank, STARVING_RANK),
      objectiveStatus: hasMissedStartDeadline(ctx, job) ? 1 : 0,
      workOrPosition: turnPositions.get(job) ?? 0,
    };
  return {
    job,
    rank,
    objectiveStatus: objectiveStatus(ctx, job, ageS),
    workOrPosition: job.spec.shape === "service" ? 0 : remainingWorkS(ctx, job),
  };
}

function compareEntries(a: QueueEntry, b: QueueEntry): number {
  return (
    b.rank - a.rank ||
    a.objectiveStatus - b.objectiveStatus ||
    a.workOrPosition - b.workOrPosition ||
    a.job.queuedSince - b.job.queuedSince ||
    a.job.index - b.job.index
  );
}

/**
 * Sorts pending jobs into scheduling order: by rank (priority, guaranteed quota and aging), then jobs that can
 * still meet an objective, then shortest first, which completes the most jobs in time, then oldest first.
 *
 * `turnPositions` holds each job's position in its class queue; it is empty if fair admission is disabled.
 */
export function sortQueue(
  ctx: Context,
  jobs: readonly Job[],
  guaranteed: ReadonlySet<Job>,
  turnPositions: ReadonlyMap<Job, number>,
): Job[] {
  const entries = jobs.map((job) => queueEntry(ctx, job, guaranteed.has(job), turnPositions));
  entries.sort(compareEntries);
  return entries.map(({ job }) => job);
}
