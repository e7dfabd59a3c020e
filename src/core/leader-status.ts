import type { LeaderTerm } from "./leader-term.js";
import type { ClusterState } from "./model/cluster-state.js";
import type { Machine } from "./model/machine.js";

/** What a leader shows its operators, beside what every node shows. The field names are theirs to rely on. */
export function leaderStatus(
  leaderTerm: LeaderTerm,
  hasValidLease: boolean,
  layout: number,
): Record<string, unknown> {
  const { cluster, migrator, scheduler } = leaderTerm;
  return {
    token: leaderTerm.lease.fencingToken,
    confirmed: hasValidLease,
    machines: [...cluster.machines.values()].map(machineStatus),
    jobs: cluster.jobs.size,
    queue: queueStatus(cluster),
    awaiting: awaitingStatus(leaderTerm),
    ...longestWaitStatus(leaderTerm),
    layout,
    move: migrator.pending,
    moves: migrator.startedMigrations,
    rounds_cut: scheduler.interruptedRounds,
    unwritten: leaderTerm.recordWriter.backlog,
  };
}

function machineStatus(machine: Machine): Record<string, unknown> {
  return {
    name: machine.name,
    type: machine.typeName,
    zone: machine.zone,
    spot: machine.spot,
    phase: machine.isLeaseExpired ? "lost" : machine.phase,
    mode: machine.mode,
    tasks: machine.placements.size,
    share: Math.round(machine.bookedShare() * 1000) / 1000,
  };
}

/** Jobs with pending tasks, and why these are pending. */
function queueStatus(cluster: ClusterState): Record<string, unknown>[] {
  return [...cluster.jobs.values()]
    .filter((job) => job.pendingCount > 0)
    .map((job) => ({ job: job.uid, tasks: job.pendingCount, why: job.pendingReason ?? "it is next" }));
}

/** Jobs whose dependencies are not satisfied, and which these are. */
function awaitingStatus({ cluster, dependencies }: LeaderTerm): Record<string, unknown>[] {
  return [...cluster.jobs.values()]
    .filter((job) => job.state === "active" && !job.dependenciesSatisfied)
    .map((job) => ({
      job: job.uid,
      tasks: job.spec.tasks,
      awaits: dependencies.unmetDependencies(job),
    }));
}

/** By team, in seconds; no field at all where round-robin turns don't count. */
function longestWaitStatus(leaderTerm: LeaderTerm): Record<string, unknown> {
  const waits = leaderTerm.longestWaits();
  if (!waits) return {};
  return {
    longest_wait_s: Object.fromEntries([...waits].map(([team, waitMs]) => [team, Math.round(waitMs / 1000)])),
  };
}
