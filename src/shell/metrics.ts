import type { AdmissionStatus, TeamStatus } from "../admission/admission.js";
import type { Controller } from "../core/controller.js";
import type { LeaderTerm } from "../core/leader-term.js";
import type { ExclusionReason } from "../core/scheduling/exclusion-reasons.js";
import type { MetricsPage } from "./request-handler.js";

type PromClient = typeof import("prom-client");

/** Metrics of the controller loop. */
export interface LoopMetrics {
  /** Command batches handled since startup. */
  readonly batches: number;
  /** Delay of the last tick. */
  readonly lagMs: number;
  /** Unanswered user requests. */
  readonly pendingUsers: number;
}

/** The gauges of one scrape, in the order in which they are set. */
class GaugeSet {
  readonly #library: PromClient;
  readonly registry: InstanceType<PromClient["Registry"]>;

  constructor(library: PromClient) {
    this.#library = library;
    this.registry = new library.Registry();
  }

  set(name: string, help: string, value: number): void {
    new this.#library.Gauge({ name: `hillspindle_${name}`, help, registers: [this.registry] }).set(value);
  }

  /** Sets one gauge with a value for each value of its label. */
  setLabelled(name: string, help: string, label: string, values: Iterable<readonly [string, number]>): void {
    const gauge = new this.#library.Gauge({
      name: `hillspindle_${name}`,
      help,
      labelNames: [label],
      registers: [this.registry],
    });
    for (const [labelValue, value] of values) gauge.set({ [label]: labelValue }, value);
  }
}

/**
 * Renders all metrics in the Prometheus text format. The library is loaded at the first scrape, as loading modules
 * takes most of the CPU time of startup.
 */
export async function renderMetrics(controller: Controller, loop: LoopMetrics): Promise<MetricsPage> {
  const gauges = new GaugeSet(await import("prom-client"));
  setNodeGauges(gauges, controller, loop);
  setFailoverGauges(gauges, controller);
  const admission = controller.admissionStatus;
  if (admission) setAdmissionGauges(gauges, admission, controller.leaderTerm);
  const { leaderTerm } = controller;
  if (leaderTerm) {
    setClusterGauges(gauges, leaderTerm);
    setSchedulingGauges(gauges, leaderTerm);
    setAgentGauges(gauges, leaderTerm);
  }
  return { type: gauges.registry.contentType, text: await gauges.registry.metrics() };
}

function setNodeGauges(gauges: GaugeSet, controller: Controller, loop: LoopMetrics): void {
  gauges.set("ready", "1 if this node takes requests", controller.isReady ? 1 : 0);
  gauges.set("leading", "1 if this node leads", controller.leaderTerm ? 1 : 0);
  gauges.set("batches_total", "Batches of commands worked off", loop.batches);
  gauges.set("lag_ms", "How late the last tick came", loop.lagMs);
  gauges.set("users_waiting", "Requests of users that await their answer", loop.pendingUsers);
}

function setFailoverGauges(gauges: GaugeSet, controller: Controller): void {
  const { standby, takeover: timeline } = controller.failover;
  if (standby) {
    gauges.set(
      "standby_warm",
      "1 if this node could lead from its cache of the records",
      standby.warm ? 1 : 0,
    );
    gauges.set("standby_records", "Records in the cache", standby.records);
    gauges.set("standby_bytes", "Bytes that the cache takes, about", standby.bytes);
    if (standby.lagRevisions !== null)
      gauges.set("standby_lag_revisions", "Revisions that the cache is behind", standby.lagRevisions);
    if (standby.lagS !== null)
      gauges.set("standby_lag_seconds", "Seconds since the cache was last proved complete", standby.lagS);
  }
  for (const [phase, sinceLeaderGoneMs] of timeline.phases())
    gauges.set(
      `takeover_${toSnakeCase(phase)}_ms`,
      "Last takeover of this node: from the end of the former leader's key to this step",
      sinceLeaderGoneMs,
    );
}

function setAdmissionGauges(
  gauges: GaugeSet,
  admission: AdmissionStatus,
  leaderTerm: LeaderTerm | null,
): void {
  const { teams } = admission;
  gauges.set("admission_by_slice", "1 while the leader's permits decide", admission.mode === "slice" ? 1 : 0);
  const setPerTeam = (name: string, help: string, toValue: (team: TeamStatus) => number) => {
    const values = teams.map((team) => [team.name, toValue(team)] as const);
    gauges.setLabelled(`admission_${name}`, help, "team", values);
  };
  setPerTeam("admitted_total", "Submissions accepted by this node", ({ admitted }) => admitted);
  setPerTeam("refused_total", "Submissions answered 429", ({ refused }) => refused);
  setPerTeam("available", "Submissions that could be accepted now", ({ available }) => available);
  setPerTeam("told_to_wait", "Submissions that were told when to come back", ({ waiting }) => waiting);
  setPerTeam(
    "retry_after_seconds",
    "What the last one that was refused was told",
    ({ lastRetryAfterS }) => lastRetryAfterS,
  );
  const longestWaitsMs = leaderTerm?.longestWaits();
  if (longestWaitsMs)
    setPerTeam(
      "longest_wait_seconds",
      "How long nothing has begun of a line that waits",
      ({ name }) => (longestWaitsMs.get(name) ?? 0) / 1000,
    );
}

function setClusterGauges(gauges: GaugeSet, { lease, cluster }: LeaderTerm): void {
  const machines = [...cluster.machines.values()];
  gauges.set("token", "The token that everything sent carries", lease.fencingToken);
  gauges.set("jobs", "Jobs that are not over", cluster.jobs.size);
  gauges.set(
    "machines_up",
    "Machines that report",
    machines.filter(({ phase, isLeaseExpired }) => phase === "up" && !isLeaseExpired).length,
  );
  gauges.set(
    "machines_booting",
    "Machines hired but not up",
    machines.filter(({ phase }) => phase === "booting").length,
  );
  gauges.set(
    "placements",
    "Tasks on machines",
    machines.reduce((sum, { placements }) => sum + placements.size, 0),
  );
}

function setSchedulingGauges(gauges: GaugeSet, { scheduler }: LeaderTerm): void {
  gauges.set("blocked_jobs", "Jobs that found no place in the last round", scheduler.blocked.length);
  gauges.set(
    "rounds_cut_total",
    "Rounds that went over their time and were gone on with",
    scheduler.interruptedRounds,
  );
  gauges.set(
    "machines_looked_at_total",
    "Machines looked at in search of places",
    scheduler.feasibleMachines.machinesExamined,
  );
}

function setAgentGauges(gauges: GaugeSet, term: LeaderTerm): void {
  const machines = [...term.cluster.machines.values()];
  gauges.set("reports_compared_total", "Reports that said something new", term.agents.reconciliations);
  gauges.set(
    "machines_unreachable",
    "Machines that report but do not hear",
    machines.filter(({ unreachableSince }) => unreachableSince !== null).length,
  );
  gauges.setLabelled(
    "machines_excluded",
    "Machines on which no task may be placed, by reason",
    "reason",
    countByExclusionReason(term),
  );
  gauges.set("moves_total", "Moves begun in this term", term.migrator.startedMigrations);
  gauges.set("unwritten", "Records that wait to be written", term.recordWriter.backlog);
}

function countByExclusionReason({ cluster, scheduler }: LeaderTerm): Map<ExclusionReason, number> {
  const counts = new Map<ExclusionReason, number>();
  for (const machine of cluster.machines.values()) {
    const reason = scheduler.feasibleMachines.exclusionReasonOf(machine);
    if (reason !== null) counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return counts;
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
