import type { JobSpec } from "../model/job-spec.js";

/** Returns the maximum number of a job's tasks per zone: half, rounded up, for a spread job; else unlimited. */
export function maxTasksPerZone({ spread, tasks }: JobSpec): number {
  return spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
}
