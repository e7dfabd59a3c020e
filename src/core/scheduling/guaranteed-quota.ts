import type { Team } from "../model/deployment.js";
import type { Job } from "../model/job.js";

/**
 * The jobs that are within the guaranteed quotas of their teams: those whose unfinished tasks fit there along
 * with all of the team's jobs before them. `jobs` are the unfinished jobs in the order in which they were
 * queued; the result keeps it.
 */
export function findGuaranteedJobs(teams: readonly Team[], jobs: readonly Job[]): Set<Job> {
  const demandByTeam = new Map<string, { cpu: number; gpu: number }>();
  const guaranteed = new Set<Job>();
  for (const job of jobs) {
    const team = teams.find(({ name }) => name === job.spec.team);
    if (!team) continue;
    const { need, tasks } = job.spec;
    const earlier = demandByTeam.get(team.name) ?? { cpu: 0, gpu: 0 };
    const unfinishedTasks = tasks - job.doneCount;
    const cpu = earlier.cpu + need.cpu * unfinishedTasks;
    const gpu = earlier.gpu + need.gpu * unfinishedTasks;
    demandByTeam.set(team.name, { cpu, gpu });
    if (cpu <= team.guarantee.cpu && (gpu <= team.guarantee.gpu || need.gpu === 0)) guaranteed.add(job);
  }
  return guaranteed;
}
