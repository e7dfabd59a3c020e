import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import { isStarving } from "./queue-order.js";

/**
 * Why tasks of a job are pending, as shown to operators in the status. The texts are part of the operator
 * interface and must not change.
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
 * Sets the pending reason that the status shows for a job. For a starving job, also logs each reason once:
 * reasons alternate from round to round, and logging every change would flood the log.
 */
export function recordPendingReason(ctx: Context, job: Job, reason: PendingReason): void {
  if (isStarving(ctx, job) && !job.loggedReasons.has(reason)) {
    job.loggedReasons.add(reason);
    const pendingS = Math.round((ctx.wallMs - job.queuedSince) / 1000);
    ctx.log("info", "job is starving", { job: job.uid, reason, pending_s: pendingS });
  }
  job.pendingReason = reason;
}
