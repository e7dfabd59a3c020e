import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import { isStarving } from "./queue-order.js";

/**
 * Why tasks of a job are pending, in the words that the status shows to operators. The texts are an interface
 * of the operators: none may be reworded.
 */
export const PENDING_REASONS = {
  recordUnreadable: "a record of it can't be read",
  failureBackoff: "it failed and is tried again later",
  previousAttemptActive: "its former attempt has not ended everywhere",
  quotaLimit: "the limit of its team",
  preemptionUnderWay: "room is being made",
  noCapacity: "no machine has room",
} as const;

/** One of the texts of {@link PENDING_REASONS}. */
export type PendingReason = (typeof PENDING_REASONS)[keyof typeof PENDING_REASONS];

/**
 * Sets a job's pending reason for the status. A starving job is logged as well, once for each reason: reasons
 * alternate from round to round, and a line for each change would fill the log.
 */
export function recordPendingReason(ctx: Context, job: Job, reason: PendingReason): void {
  if (isStarving(ctx, job) && !job.loggedReasons.has(reason)) {
    job.loggedReasons.add(reason);
    const pendingS = Math.round((ctx.wallMs - job.queuedSince) / 1000);
    ctx.log("info", "job pending for long", { job: job.uid, reason, pending_s: pendingS });
  }
  job.pendingReason = reason;
}
