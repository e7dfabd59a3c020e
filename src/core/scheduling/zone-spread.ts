import type { JobSpec } from "../model/job-spec.js";

/** The most tasks of a job that one zone may hold: half, rounded up, if it is to be spread; else any number. */
export function maxTasksPerZone({ spread, tasks }: JobSpec): number {
  return spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
}
