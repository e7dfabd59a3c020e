import type { Team } from "../model/deployment.js";
import type { Job } from "../model/job.js";

/**
 * Of jobs in the order of their acceptance, those within their teams' guarantees: a job is if it fits there along with
 * the team's earlier unfinished jobs.
 */
export function findGuaranteedJobs(teams: readonly Team[], inOrder: readonly Job[]): Set<Job> {
  const used = new Map<string, { cpu: number; gpu: number }>();
  const result = new Set<Job>();
  for (const job of inOrder) {
    const team = teams.find((t) => t.name === job.spec.team);
    if (!team) continue;
    const sum = used.get(team.name) ?? { cpu: 0, gpu: 0 };
    const open = job.spec.tasks - job.doneCount;
    const cpu = sum.cpu + job.spec.need.cpu * open;
    const gpu = sum.gpu + job.spec.need.gpu * open;
    used.set(team.name, { cpu, gpu });
    if (cpu <= team.guarantee.cpu && (gpu <= team.guarantee.gpu || job.spec.need.gpu === 0)) result.add(job);
  }
  return result;
}
