import type { RoundRobinTurns } from "../../admission/round-robin-turns.js";
import type { Job } from "../model/job.js";

/** Counts the unfinished jobs of each team, including teams no longer in the settings. */
export function countUnfinishedJobsByTeam(unfinishedJobs: Iterable<Job>): Map<string, number> {
  const countByTeam = new Map<string, number>();
  for (const { spec } of unfinishedJobs) countByTeam.set(spec.team, (countByTeam.get(spec.team) ?? 0) + 1);
  return countByTeam;
}

/**
 * Returns, for each team, the longest time in milliseconds for which one of its class queues has had pending tasks
 * without a task start; 0 if nothing is pending.
 */
export function longestWaitMsByTeam(
  turns: RoundRobinTurns,
  jobs: Iterable<Job>,
  teams: readonly { readonly name: string }[],
  wallMs: number,
): Map<string, number> {
  const pending = [...jobs].filter((job) => job.pendingCount > 0);
  return new Map(teams.map(({ name }) => [name, turns.longestWaitMs(name, pending, wallMs)]));
}
