import type { LeaderTerm } from "./leader-term.js";

/** What a leader shows its operators, beside what every node shows. */
export function leaderStatus(
  leaderTerm: LeaderTerm,
  confirmed: boolean,
  layout: number,
): Record<string, unknown> {
  const { cluster: tables } = leaderTerm;
  return {
    token: leaderTerm.lease.fencingToken,
    confirmed,
    machines: [...tables.machines.values()].map((machine) => ({
      name: machine.name,
      type: machine.typeName,
      zone: machine.zone,
      spot: machine.spot,
      phase: machine.isLeaseExpired ? "lost" : machine.phase,
      mode: machine.mode,
      tasks: machine.placements.size,
      share: Math.round(machine.bookedShare() * 1000) / 1000,
    })),
    jobs: tables.jobs.size,
    queue: [...tables.jobs.values()]
      .filter((job) => job.pending > 0)
      .map((job) => ({ job: job.uid, tasks: job.pending, why: job.pendingReason ?? "it is next" })),
    awaiting: [...tables.jobs.values()]
      .filter((job) => job.state === "active" && !job.dependenciesSatisfied)
      .map((job) => ({
        job: job.uid,
        tasks: job.spec.tasks,
        awaits: leaderTerm.dependencies.unmetDependencies(job),
      })),
    ...longestWaits(leaderTerm),
    layout,
    move: leaderTerm.migrator.pending,
    moves: leaderTerm.migrator.startedMigrations,
    rounds_cut: leaderTerm.scheduler.interruptedRounds,
    unwritten: leaderTerm.recordWriter.backlog,
  };
}

/** By team, in seconds; nothing where turns don't count. */
function longestWaits(leaderTerm: LeaderTerm): Record<string, unknown> {
  const waits = leaderTerm.longestWaits();
  if (!waits) return {};
  return {
    longest_wait_s: Object.fromEntries([...waits].map(([team, ms]) => [team, Math.round(ms / 1000)])),
  };
}
