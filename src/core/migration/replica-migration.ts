import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { StoreEntry } from "../messages/store.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, fits, NO_RESOURCES } from "../model/resources.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { zonesAllowMove } from "../scheduling/zone-spread.js";
import type { RecordWriter } from "../store/record-writer.js";
import { type MigrationRecord, readMigration } from "../store/records.js";
import { type MigrationPlan, MigrationPlanner } from "./migration-planner.js";

/** A migration is abandoned if one of its phases takes longer than this. */
const PHASE_TIMEOUT_MS = 120_000;

/**
 * The phases of a migration, as shown in the status. Capacity on the target is reserved in all but the last phase.
 *
 * - `recording`: until the migration record is committed
 * - `draining`: the old copy drains for `move_drain_s`
 * - `stopping`: until the old copy is proved to have ended
 * - `starting`: until the new copy runs
 */
export type MigrationPhase = "recording" | "draining" | "stopping" | "starting";

interface PendingMigration {
  readonly record: MigrationRecord;
  readonly job: Job;
  readonly from: Machine;
  readonly to: Machine;
  phase: MigrationPhase;
  phaseSince: number;
}

/** The dependencies of {@link ReplicaMigrator}. */
export interface ReplicaMigratorDependencies {
  readonly cluster: ClusterState;
  readonly agents: AgentManager;
  readonly recordWriter: RecordWriter;
  readonly scheduler: Scheduler;
}

/**
 * Consolidates service replicas: each round, at most one replica is migrated off a machine that has been underutilized
 * for a while, provided that all of the machine's replicas fit elsewhere. At most one migration is pending at any time.
 * It is stored in the migration record, so that the next leader finishes it before starting another.
 *
 * A replica is a numbered task, which must never run on two machines at once (I3), so the new copy cannot be started
 * before the old one is drained. Capacity on the target is reserved first, then the old copy drains, and the new copy
 * is started as soon as the old one is proved to have ended (docs/DESIGN.md).
 */
export class ReplicaMigrator {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #agents: AgentManager;
  readonly #recordWriter: RecordWriter;
  readonly #scheduler: Scheduler;
  readonly #planner: MigrationPlanner;
  #pending: PendingMigration | null = null;
  #nextRoundAt: number;
  /** True while the previous migration's record is being removed; no migration starts in the meantime. */
  #isRemovingRecord = false;
  /** Number of migrations started by this leader. */
  startedMigrations = 0;

  constructor(ctx: Context, { cluster, agents, recordWriter, scheduler }: ReplicaMigratorDependencies) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#agents = agents;
    this.#recordWriter = recordWriter;
    this.#scheduler = scheduler;
    this.#planner = new MigrationPlanner(ctx, cluster, scheduler);
    this.#nextRoundAt = ctx.now + ctx.settings.move_round_s * 1000;
  }

  /** The pending migration and its phase, for the status; null if there is none. */
  get pending(): (MigrationRecord & { phase: MigrationPhase }) | null {
    return this.#pending ? { ...this.#pending.record, phase: this.#pending.phase } : null;
  }

  /** Resumes the migration recorded by an earlier leader, if any. Must be called after the records have been loaded. */
  resume(entry: StoreEntry | null): void {
    if (!entry) return;
    const record = readMigration(entry.value);
    if (!record) return;
    const job = this.#cluster.jobByUid(record.job);
    const from = this.#machineByName(record.from);
    const to = this.#machineByName(record.to);
    if (!job || !from || !to) {
      this.#removeRecord();
      return;
    }
    const pending: PendingMigration = {
      record,
      job,
      from,
      to,
      phase: "draining",
      phaseSince: this.#ctx.now,
    };
    this.#pending = pending;
    const placement = job.placements.get(record.task);
    if (placement?.machine === to) pending.phase = "starting";
    else to.reservedForMigration = add(to.reservedForMigration, job.spec.need);
    // The old copy has already ended, so only the new one remains to be started.
    if (!placement) this.#startOnTarget(pending);
  }

  #machineByName(name: string): Machine | undefined {
    const index = this.#ctx.names.machines.find(name);
    return index === undefined ? undefined : this.#cluster.machines.get(index);
  }

  /** Advances the pending migration; every `move_round_s`, starts a new one if none is pending. */
  tick(): void {
    const { now, settings } = this.#ctx;
    this.#planner.trackUtilization();
    if (this.#pending) this.#advance(this.#pending);
    if (now < this.#nextRoundAt) return;
    this.#nextRoundAt = now + settings.move_round_s * 1000;
    if (this.#pending || this.#isRemovingRecord) return;
    const plan = this.#planner.plan();
    if (plan) this.#start(plan);
  }

  #start({ replica, from, to }: MigrationPlan): void {
    const { now, settings } = this.#ctx;
    const { job, task } = replica;
    this.startedMigrations++;
    const record: MigrationRecord = {
      job: job.uid,
      task,
      from: from.name,
      to: to.name,
      startedAt: Math.round(now),
    };
    const pending: PendingMigration = { record, job, from, to, phase: "recording", phaseSince: now };
    this.#pending = pending;
    to.reservedForMigration = add(to.reservedForMigration, job.spec.need);
    this.#ctx.log("info", "replica migration started", {
      ...recordFields(record),
      from_share: from.allocatedCpuShare(),
      to_share: to.allocatedCpuShare(),
      low_share: settings.move_low,
    });
    this.#recordWriter.writeMigration(record, () => {
      if (this.#pending === pending && pending.phase === "recording") this.#enterPhase(pending, "draining");
    });
  }

  #enterPhase(pending: PendingMigration, phase: MigrationPhase): void {
    pending.phase = phase;
    pending.phaseSince = this.#ctx.now;
  }

  #advance(pending: PendingMigration): void {
    const outcome = this.#outcomeOf(pending);
    if (outcome !== null) {
      this.#finish(pending, outcome);
      return;
    }
    if (pending.phase !== "draining" || !this.#isDrained(pending)) return;
    const placement = pending.job.placements.get(pending.record.task);
    if (!placement) return;
    this.#enterPhase(pending, "stopping");
    this.#agents.stopTask(placement, 0, "replica migration");
  }

  /** Returns how the migration has ended; null while it is in progress. */
  #outcomeOf(pending: PendingMigration): string | null {
    const { job, record, from, to } = pending;
    if (job.state !== "active") return "the job ended";
    if (this.#ctx.now - pending.phaseSince > PHASE_TIMEOUT_MS) return "timed out";
    const placement = job.placements.get(record.task);
    switch (pending.phase) {
      case "recording":
      case "stopping":
        return null;
      case "draining":
        return placement?.machine === from ? this.#targetProblem(pending) : "the old copy ended";
      case "starting":
        if (placement?.observedState === "running") return "completed";
        return placement?.machine === to ? null : "the new copy ended";
    }
  }

  /** Returns why a draining migration cannot continue to its target; null if it can. */
  #targetProblem(pending: PendingMigration): string | null {
    const { to } = pending;
    // A new leader may not have received a heartbeat from the target yet. During the drain, only an expired lease or a
    // termination of the target therefore ends the migration.
    if (!this.#isDrained(pending))
      return to.isLeaseExpired || to.phase === "releasing"
        ? "the target's lease expired or the target is being terminated"
        : null;
    return this.#scheduler.feasibleMachines.isSchedulable(to) ? null : "the target is not schedulable";
  }

  #isDrained(pending: PendingMigration): boolean {
    return this.#ctx.now - pending.phaseSince >= this.#ctx.settings.move_drain_s * 1000;
  }

  /**
   * Must be called when a placement is proved to have ended. Returns true if the migration has placed the task on its
   * target; the caller then need not check whether the job has ended.
   */
  onPlacementEnded(placement: Placement): boolean {
    const pending = this.#pending;
    if (pending?.phase !== "stopping" || placement.job !== pending.job) return false;
    if (placement.task !== pending.record.task || placement.machine !== pending.from) return false;
    return this.#startOnTarget(pending);
  }

  /** Converts the reservation into a placement or ends the migration; returns true if the task was placed. */
  #startOnTarget(pending: PendingMigration): boolean {
    const { job, to, record } = pending;
    to.reservedForMigration = add(to.reservedForMigration, job.spec.need, -1);
    if (!this.#mayStartOnTarget(pending)) {
      this.#pending = null;
      this.#removeRecord();
      return false;
    }
    this.#enterPhase(pending, "starting");
    this.#scheduler.placeTask(job, record.task, to);
    return true;
  }

  /** Rechecks the conditions under which the migration was planned, and that the task has no other placement (I3). */
  #mayStartOnTarget({ job, from, to, record }: PendingMigration): boolean {
    return (
      job.state === "active" &&
      this.#scheduler.feasibleMachines.isSchedulable(to) &&
      fits(job.spec.need, to.freeCapacity()) &&
      this.#scheduler.tasksWithinQuota(job) > 0 &&
      zonesAllowMove(job, from, to) &&
      !job.placements.has(record.task)
    );
  }

  #finish(pending: PendingMigration, outcome: string): void {
    if (pending.phase !== "starting") releaseReservation(pending);
    this.#pending = null;
    this.#ctx.log("info", "replica migration ended", { ...recordFields(pending.record), outcome });
    this.#removeRecord();
  }

  #removeRecord(): void {
    this.#isRemovingRecord = true;
    this.#recordWriter.writeMigration(null, () => {
      this.#isRemovingRecord = false;
    });
  }
}

function releaseReservation({ job, to }: PendingMigration): void {
  to.reservedForMigration = add(to.reservedForMigration, job.spec.need, -1);
  // A negative reservation would be counted as free capacity.
  if (to.reservedForMigration.cpu < 0) to.reservedForMigration = NO_RESOURCES;
}

function recordFields({ job, task, from, to, startedAt }: MigrationRecord): Record<string, unknown> {
  return { job, task, from, to, started_at_ms: startedAt };
}
