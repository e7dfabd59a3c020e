import type { Context } from "../context.js";
import type { ExitReason } from "../model/job-spec.js";
import type { Placement } from "../model/placement.js";
import type { RecordWriter } from "../store/record-writer.js";
import { recordFailure, recordSuccess } from "./failure-tracking.js";

/** Backoff of a machine that refused a start because of missing capacity or an earlier attempt of the task. */
const REFUSED_START_BACKOFF_MS = 2000;
/** Backoff of a job that is unknown to an agent. */
const UNKNOWN_JOB_BACKOFF_MS = 1000;

/** Updates the state of the job and the machine according to how a placement ended. */
export function applyTaskOutcome(
  ctx: Context,
  recordWriter: RecordWriter,
  placement: Placement,
  cause: ExitReason | "lost",
): void {
  const { job, machine } = placement;
  switch (cause) {
    case "done":
      applyCompletion(ctx, recordWriter, placement);
      break;
    case "error":
      recordFailure(ctx, placement);
      break;
    case "no_room":
    case "busy":
      machine.backoffUntil = ctx.now + REFUSED_START_BACKOFF_MS;
      break;
    case "unknown":
      job.backoffUntil = ctx.now + UNKNOWN_JOB_BACKOFF_MS;
      break;
    case "stopped":
    case "peers":
    case "incomplete":
    case "lost":
      break;
  }
}

function applyCompletion(ctx: Context, recordWriter: RecordWriter, placement: Placement): void {
  const { job, task, runningSince } = placement;
  // A task that may have resumed from a checkpoint is not observed: it may have run for only a part of its duration.
  if (runningSince !== null && (job.spec.checkpointS === 0 || !Number.isFinite(job.lastRanAt)))
    ctx.estimates.observe(job.spec, (ctx.now - runningSince) / 1000);
  if (job.spec.shape === "gang") {
    // The tasks of a gang complete together.
    for (let other = 0; other < job.spec.tasks; other++) {
      if (job.isDone(other)) continue;
      job.markDone(other);
      recordWriter.markDirty(job, other, false);
    }
  } else if (job.spec.shape === "array") job.markDone(task);
  recordSuccess(ctx, placement);
}
