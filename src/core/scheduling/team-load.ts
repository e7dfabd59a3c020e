import type { RoundRobinTurns } from "../../admission/round-robin-turns.js";
import type { Job } from "../model/job.js";

/** How many jobs of each team are not over, those of teams that are no longer in the settings among them. */
export function openJobsByTeam(jobs: Iterable<Job>): Map<string, number> {
  const open = new Map<string, number>();
  for (const { spec } of jobs) open.set(spec.team, (open.get(spec.team) ?? 0) + 1);
  return open;
}

/** By team, for how many milliseconds nothing has begun of a line of which something waits. */
export function longestWaits(
  turns: RoundRobinTurns,
  jobs: Iterable<Job>,
  teams: readonly { readonly name: string }[],
  wallMs: number,
): Map<string, number> {
  const waiting = [...jobs].filter((job) => job.pending > 0);
  return new Map(teams.map(({ name }) => [name, turns.longestWaitMs(name, waiting, wallMs)]));
}
