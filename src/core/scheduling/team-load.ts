import type { RoundRobinTurns } from "../../admission/round-robin-turns.js";
import type { Job } from "../model/job.js";

/** How many of these unfinished jobs each team has, teams that are no longer in the settings included. */
export function countUnfinishedJobsByTeam(unfinishedJobs: Iterable<Job>): Map<string, number> {
  const countByTeam = new Map<string, number>();
  for (const { spec } of unfinishedJobs) countByTeam.set(spec.team, (countByTeam.get(spec.team) ?? 0) + 1);
  return countByTeam;
}

/**
 * For each team, the longest time in milliseconds for which some class of its jobs has had pending tasks and
 * no start; 0 where nothing is pending.
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
