import type { Team } from "../model/deployment.js";
import type { Job } from "../model/job.js";

/**
 * Returns the jobs within their teams' guaranteed quotas: a job is included if its unfinished tasks and those of
 * all earlier jobs of the team fit into the quota; for a job without GPUs, only the CPUs are compared. `jobs` are
 * the unfinished jobs in queueing order, which the result preserves.
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
