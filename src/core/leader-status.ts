import type { LeaderTerm } from "./leader-term.js";
import type { ClusterState } from "./model/cluster-state.js";
import type { Machine } from "./model/machine.js";
import type { FeasibleMachines } from "./scheduling/feasible-machines.js";

/** Returns the part of the status page that only a leader has. Operators' tools depend on the field names. */
export function leaderStatus(
  leaderTerm: LeaderTerm,
  hasValidLease: boolean,
  layout: number,
): Record<string, unknown> {
  const { cluster, migrator, scheduler } = leaderTerm;
  return {
    token: leaderTerm.lease.fencingToken,
    confirmed: hasValidLease,
    machines: [...cluster.machines.values()].map((machine) =>
      machineStatus(machine, scheduler.feasibleMachines),
    ),
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

function machineStatus(machine: Machine, feasibleMachines: FeasibleMachines): Record<string, unknown> {
  return {
    name: machine.name,
    type: machine.typeName,
    zone: machine.zone,
    spot: machine.spot,
    phase: machine.isLeaseExpired ? "lost" : machine.phase,
    mode: machine.mode,
    excluded: feasibleMachines.exclusionReasonOf(machine),
    tasks: machine.placements.size,
    share: Math.round(machine.allocatedCpuShare() * 1000) / 1000,
  };
}

/** Lists jobs with pending tasks and their pending reasons. */
function queueStatus(cluster: ClusterState): Record<string, unknown>[] {
  return [...cluster.jobs.values()]
    .filter((job) => job.pendingCount > 0)
    .map((job) => ({ job: job.uid, tasks: job.pendingCount, why: job.pendingReason ?? "it is next" }));
}

/** Lists jobs with unsatisfied dependencies and those dependencies. */
function awaitingStatus({ cluster, dependencies }: LeaderTerm): Record<string, unknown>[] {
  return [...cluster.jobs.values()]
    .filter((job) => job.state === "active" && !job.dependenciesSatisfied)
    .map((job) => ({
      job: job.uid,
      tasks: job.spec.tasks,
      awaits: dependencies.unsatisfiedDependencies(job),
    }));
}

/** Returns the longest wait of each team in seconds; the field is absent if round-robin turns are disabled. */
function longestWaitStatus(leaderTerm: LeaderTerm): Record<string, unknown> {
  const waits = leaderTerm.longestWaits();
  if (!waits) return {};
  return {
    longest_wait_s: Object.fromEntries([...waits].map(([team, waitMs]) => [team, Math.round(waitMs / 1000)])),
  };
}
