import type { TeamStatus } from "../admission/admission.js";
import type { Controller } from "../core/controller.js";

/** The library is loaded at the first scrape: most of a start-up's processor time is loading modules. */
export async function renderMetrics(
  controller: Controller,
  loop: { batches: number; lagMs: number; waiting: number },
): Promise<{ type: string; text: string }> {
  const { Registry, Gauge } = await import("prom-client");
  const registry = new Registry();
  const gauge = (name: string, help: string, value: number) => {
    new Gauge({ name: `hillspindle_${name}`, help, registers: [registry] }).set(value);
  };
  gauge("ready", "1 if this node takes requests", controller.ready ? 1 : 0);
  gauge("leading", "1 if this node leads", controller.leaderTerm ? 1 : 0);
  gauge("batches_total", "Batches of commands worked off", loop.batches);
  gauge("lag_ms", "How late the last tick came", loop.lagMs);
  gauge("users_waiting", "Requests of users that await their answer", loop.waiting);
  const { standby, takeover } = controller.failover;
  if (standby) {
    gauge("standby_warm", "1 if this node could lead from its cache of the records", standby.warm ? 1 : 0);
    gauge("standby_records", "Records in the cache", standby.records);
    gauge("standby_bytes", "Bytes that the cache takes, about", standby.bytes);
    if (standby.lagRevisions !== null)
      gauge("standby_lag_revisions", "Revisions that the cache is behind", standby.lagRevisions);
    if (standby.lagS !== null)
      gauge("standby_lag_seconds", "Seconds since the cache was last proved complete", standby.lagS);
  }
  for (const [phase, ms] of takeover.phases())
    gauge(
      `takeover_${toSnakeCase(phase)}_ms`,
      "Last takeover of this node: from the end of the former leader's key to this step",
      ms,
    );
  const admission = controller.admissionStatus;
  if (admission) {
    const byTeam = (name: string, help: string, of: (team: TeamStatus) => number) => {
      const perTeam = new Gauge({
        name: `hillspindle_admission_${name}`,
        help,
        labelNames: ["team"],
        registers: [registry],
      });
      for (const team of admission.teams) perTeam.set({ team: team.name }, of(team));
    };
    gauge("admission_by_slice", "1 while the leader's permits decide", admission.mode === "slice" ? 1 : 0);
    byTeam("admitted_total", "Submissions accepted by this node", ({ admitted }) => admitted);
    byTeam("refused_total", "Submissions answered 429", ({ refused }) => refused);
    byTeam("available", "Submissions that could be accepted now", ({ available }) => available);
    byTeam("told_to_wait", "Submissions that were told when to come back", ({ waiting }) => waiting);
    byTeam(
      "retry_after_seconds",
      "What the last one that was refused was told",
      ({ lastWaitS }) => lastWaitS,
    );
    const turns = controller.leaderTerm?.longestWaits();
    if (turns)
      byTeam("longest_wait_seconds", "How long nothing has begun of a line that waits", ({ name }) => {
        return (turns.get(name) ?? 0) / 1000;
      });
  }
  const { leaderTerm } = controller;
  if (leaderTerm) {
    const machines = [...leaderTerm.cluster.machines.values()];
    gauge("token", "The token that everything sent carries", leaderTerm.lease.fencingToken);
    gauge("jobs", "Jobs that are not over", leaderTerm.cluster.jobs.size);
    gauge(
      "machines_up",
      "Machines that report",
      machines.filter((m) => m.phase === "up" && !m.isLeaseExpired).length,
    );
    gauge(
      "machines_booting",
      "Machines hired but not up",
      machines.filter((m) => m.phase === "booting").length,
    );
    gauge(
      "placements",
      "Tasks on machines",
      machines.reduce((n, m) => n + m.placements.size, 0),
    );
    gauge("blocked_jobs", "Jobs that found no place in the last round", leaderTerm.scheduler.blocked.length);
    gauge(
      "rounds_cut_total",
      "Rounds that went over their time and were gone on with",
      leaderTerm.scheduler.interruptedRounds,
    );
    gauge(
      "machines_looked_at_total",
      "Machines looked at in search of places",
      leaderTerm.scheduler.feasibleMachines.machinesExamined,
    );
    gauge("reports_compared_total", "Reports that said something new", leaderTerm.agents.reconciliations);
    gauge(
      "machines_unreachable",
      "Machines that report but do not hear",
      machines.filter((m) => m.unreachableSince !== null).length,
    );
    gauge("moves_total", "Moves begun in this term", leaderTerm.migrator.startedMigrations);
    gauge("unwritten", "Records that wait to be written", leaderTerm.recordWriter.backlog);
  }
  return { type: registry.contentType, text: await registry.metrics() };
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
