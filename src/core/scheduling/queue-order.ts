import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import { guaranteedStartObjectiveS, jobAgeS, objectiveStanding } from "./objectives.js";

/** A job none of whose tasks has had a machine for longer than this is starving. */
const STARVING_AFTER_S = 160;
/**
 * A job is to start within 240 s of its acceptance. One that has waited for this long hardly can, as its
 * image is still to be fetched.
 */
const START_HOPELESS_AFTER_S = 200;
/** From here on a job that has missed its start goes before later ones again: it must not wait for ever. */
const START_RESCUED_AFTER_S = 420;

/** The rank of a starving job: above all but new guaranteed work of the highest priority. */
const STARVING_RANK = 8;
/** What one step of priority adds to a job's rank. */
const RANKS_PER_PRIORITY = 2;
/** What being within the guaranteed quota adds to the rank of a new job: more than one step of priority. */
const NEW_GUARANTEED_BOOST = 3;
/** The same later: less than one step of priority. */
const GUARANTEED_BOOST = 1;
/** A guaranteed job is new for this long or, if that is longer, until its start objective. */
const NEW_GUARANTEED_S = 60;

/** A job and its sort keys, the lower the earlier but for the rank. */
interface QueueEntry {
  readonly job: Job;
  /** From priority, guaranteed quota and ageing; higher goes first. */
  readonly rank: number;
  /** An `ObjectiveStanding`. Of a starving job: 1 if it can't start in time any more, else 0. */
  readonly standing: number;
  /** Remaining seconds of task time. Of a starving job: its place among those of its class and team. */
  readonly length: number;
}

/**
 * Has the job waited for too long? Ageing bounds the wait under constant overload, where an order of the
 * shortest first and of missed objectives last would never start the largest jobs. The wait counts from times
 * on record, so that it survives a failover.
 */
export function isStarving(ctx: Context, job: Job): boolean {
  return job.hasRoundRobinTurn || waitedS(ctx, job) > STARVING_AFTER_S;
}

/** For how many seconds no task of a job has had a machine. */
function waitedS(ctx: Context, job: Job): number {
  if (job.placements.size > 0) return 0;
  return Math.min(ctx.wallMs - job.queuedSince, ctx.now - job.lastRanAt) / 1000;
}

/**
 * Has a starving job missed its start? It goes behind those that can still start in time: with more starving
 * jobs than capacity, first come first served would start every one of them too late.
 */
export function hasMissedStartDeadline(ctx: Context, job: Job): boolean {
  const seconds = waitedS(ctx, job);
  return seconds > START_HOPELESS_AFTER_S && seconds <= START_RESCUED_AFTER_S;
}

/**
 * What being within the guaranteed quota adds to a job's rank: a new job goes before work of the next higher
 * priority, an older one only before its equals.
 */
function guaranteedBoost(ctx: Context, ageS: number): number {
  const objectiveS = guaranteedStartObjectiveS(ctx) ?? 0;
  return ageS <= Math.max(NEW_GUARANTEED_S, objectiveS) ? NEW_GUARANTEED_BOOST : GUARANTEED_BOOST;
}

/** Seconds of task time that remain, by the corrected estimate. */
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
      standing: hasMissedStartDeadline(ctx, job) ? 1 : 0,
      length: turnPositions.get(job) ?? 0,
    };
  return {
    job,
    rank,
    standing: objectiveStanding(ctx, job, ageS),
    length: job.spec.shape === "service" ? 0 : remainingWorkS(ctx, job),
  };
}

function compareEntries(a: QueueEntry, b: QueueEntry): number {
  return (
    b.rank - a.rank ||
    a.standing - b.standing ||
    a.length - b.length ||
    a.job.queuedSince - b.job.queuedSince ||
    a.job.index - b.job.index
  );
}

/**
 * The order in which pending jobs are served: by priority, guaranteed quota and ageing; then what can still
 * meet an objective; then the shortest first, which gets the most jobs done in time; then the oldest.
 *
 * `turnPositions` holds each job's place among those of its class and team; it is empty where fair admission
 * is off.
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
