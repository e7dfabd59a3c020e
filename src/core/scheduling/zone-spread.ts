import type { Job } from "../model/job.js";
import type { JobSpec } from "../model/job-spec.js";
import type { Machine } from "../model/machine.js";

/** Returns the maximum number of a job's tasks per zone: half, rounded up, for a spread job; else unlimited. */
export function maxTasksPerZone({ spread, tasks }: JobSpec): number {
  return spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
}

/** True if the job's zone constraints (a single zone, or spread across zones) still hold after moving one task. */
export function zonesAllowMove(job: Job, from: Machine, to: Machine): boolean {
  if (from.zone === to.zone) return true;
  if (job.spec.oneZone && job.placements.size > 1) return false;
  return job.countInZone(to.zone) + 1 <= maxTasksPerZone(job.spec);
}
