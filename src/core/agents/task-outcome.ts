import type { Context } from "../context.js";
import type { ExitReason } from "../model/job-spec.js";
import type { Placement } from "../model/placement.js";
import type { RecordWriter } from "../store/record-writer.js";
import { recordFailure } from "./failure-tracking.js";

/** A machine that refused a start for want of room, or for its former copy, gets nothing for so long. */
const REFUSED_MS = 2000;
/** A job that a worker did not know is tried again after this. */
const UNKNOWN_MS = 1000;

/** Draws the conclusions for job and machine from how a placement has ended. */
export function applyTaskOutcome(
  ctx: Context,
  recorder: RecordWriter,
  placement: Placement,
  cause: ExitReason | "lost",
): void {
  const { job, machine, task } = placement;
  const { now } = ctx;
  switch (cause) {
    case "done":
      // What a task took after it had saved and been stopped says nothing of the whole.
      if (placement.runningSince !== null && (job.spec.checkpointS === 0 || !Number.isFinite(job.lastRanAt)))
        ctx.estimates.observe(job.spec, (now - placement.runningSince) / 1000);
      if (job.spec.shape === "gang") {
        // If one task of a gang is done, all of them are.
        for (let i = 0; i < job.spec.tasks; i++) {
          if (!job.isDone(i)) {
            job.markDone(i);
            recorder.markDirty(job, i, false);
          }
        }
      } else if (job.spec.shape === "array") job.markDone(task);
      job.failures = 0;
      machine.failures = 0;
      machine.failedJobs.clear();
      break;
    case "error":
      recordFailure(ctx, placement);
      break;
    case "no_room":
    case "busy":
      machine.backoffUntil = now + REFUSED_MS;
      break;
    case "unknown":
      job.backoffUntil = now + UNKNOWN_MS;
      break;
    case "stopped":
    case "peers":
    case "incomplete":
    case "lost":
      break;
  }
}
