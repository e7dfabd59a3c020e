import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { StoreEntry } from "../messages/store.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, fits, NO_RESOURCES } from "../model/resources.js";
import { weightedIndex } from "../random.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { RecordWriter } from "../store/record-writer.js";
import { type MigrationRecord, readMigration } from "../store/records.js";

type Phase = "recording" | "draining" | "stopping" | "starting";

interface Pending {
  readonly record: MigrationRecord;
  readonly job: Job;
  readonly from: Machine;
  readonly to: Machine;
  phase: Phase;
  since: number;
}

const GIVE_UP_MS = 120_000;

/**
 * The design's consolidation: each round at most one service replica leaves a machine that stayed cold,
 * provided all of that machine's replicas fit elsewhere. One move is pending at a time, on record.
 *
 * The design starts the new copy before it drains the old one. Here a replica is a numbered task, and the
 * rules forbid it on two machines at once; so the target is booked first, the drain is waited out, and the
 * new copy is started at once when the old one is proved gone (docs/DESIGN.md).
 */
export class ReplicaMigrator {
  readonly #ctx: Context;
  readonly #tables: ClusterState;
  readonly #fleet: AgentManager;
  readonly #recorder: RecordWriter;
  readonly #scheduler: Scheduler;
  #pending: Pending | null = null;
  #roundAt: number;
  #clearing = false;
  startedMigrations = 0;

  constructor(
    ctx: Context,
    tables: ClusterState,
    fleet: AgentManager,
    recorder: RecordWriter,
    scheduler: Scheduler,
  ) {
    this.#ctx = ctx;
    this.#tables = tables;
    this.#fleet = fleet;
    this.#recorder = recorder;
    this.#scheduler = scheduler;
    this.#roundAt = ctx.now + ctx.settings.move_round_s * 1000;
  }

  get pending(): (MigrationRecord & { phase: Phase }) | null {
    return this.#pending ? { ...this.#pending.record, phase: this.#pending.phase } : null;
  }

  /** A move that an earlier leader recorded is finished before any other begins. */
  resume(item: StoreEntry | null): void {
    if (!item) return;
    const record = readMigration(item.value);
    if (!record) return;
    const job = this.#tables.jobByUid(record.job);
    const from = this.#machine(record.from);
    const to = this.#machine(record.to);
    if (!job || !from || !to) {
      this.#clear();
      return;
    }
    const pending: Pending = { record, job, from, to, phase: "draining", since: this.#ctx.now };
    this.#pending = pending;
    const placement = job.placements.get(record.task);
    if (placement?.machine === to) pending.phase = "starting";
    else to.reservedForMigration = add(to.reservedForMigration, job.spec.need);
    // Stopped, and its old copy gone already: the target is still booked for it.
    if (!placement) this.#startOnTarget(pending);
  }

  #machine(name: string): Machine | undefined {
    const ix = this.#ctx.names.machines.find(name);
    return ix === undefined ? undefined : this.#tables.machines.get(ix);
  }

  tick(): void {
    const { now, settings } = this.#ctx;
    for (const machine of this.#tables.machines.values()) {
      if (machine.phase === "up" && machine.bookedShare() < settings.move_low)
        machine.underutilizedSince ??= now;
      else machine.underutilizedSince = null;
    }
    if (this.#pending) this.#proceed(this.#pending);
    if (now < this.#roundAt) return;
    this.#roundAt = now + settings.move_round_s * 1000;
    if (!this.#pending && !this.#clearing) this.#round();
  }

  #isCold(machine: Machine): boolean {
    return (
      machine.underutilizedSince !== null &&
      this.#ctx.now - machine.underutilizedSince >= this.#ctx.settings.move_window_s * 1000
    );
  }

  #round(): void {
    const { settings, random } = this.#ctx;
    for (const machine of this.#tables.machines.values()) {
      if (!this.#isCold(machine) || !this.#scheduler.feasibleMachines.isSchedulable(machine)) continue;
      const replicas = [...machine.placements].filter((p) => p.job.spec.shape === "service");
      if (replicas.length === 0 || !this.#allFitElsewhere(machine, replicas)) continue;
      // Crash-looping replicas would waste the one move.
      const movable = replicas.filter(
        (p) => p.observedState === "running" && !p.stop && p.job.failures === 0,
      );
      const drawn = weightedIndex(
        random,
        movable.map((p) => p.job.spec.need.cpu),
      );
      const replica = drawn === null ? undefined : movable[drawn];
      const target = replica && this.#target(replica, machine, new Map());
      if (!replica || !target) continue;
      const { job } = replica;
      this.startedMigrations++;
      const record: MigrationRecord = {
        job: job.uid,
        task: replica.task,
        from: machine.name,
        to: target.name,
        startedAt: Math.round(this.#ctx.now),
      };
      const pending: Pending = {
        record,
        job,
        from: machine,
        to: target,
        phase: "recording",
        since: this.#ctx.now,
      };
      this.#pending = pending;
      target.reservedForMigration = add(target.reservedForMigration, job.spec.need);
      this.#ctx.log("info", "move begins", {
        ...record,
        share: machine.bookedShare(),
        targetShare: target.bookedShare(),
        low: settings.move_low,
      });
      this.#recorder.writeMigration(record, () => {
        if (this.#pending !== pending || pending.phase !== "recording") return;
        pending.phase = "draining";
        pending.since = this.#ctx.now;
      });
      return;
    }
  }

  #allFitElsewhere(machine: Machine, replicas: readonly Placement[]): boolean {
    const extra = new Map<Machine, number>();
    for (const replica of replicas) {
      const target = this.#target(replica, machine, extra);
      if (!target) return false;
      extra.set(target, (extra.get(target) ?? 0) + 1);
    }
    return true;
  }

  /** The fullest machine where the replica fits below the high mark; never a cold one; the spread holds. */
  #target(replica: Placement, from: Machine, extra: ReadonlyMap<Machine, number>): Machine | null {
    const { job } = replica;
    const { need } = job.spec;
    let best: Machine | null = null;
    let bestShare = -1;
    for (const machine of this.#tables.machines.values()) {
      if (machine === from || machine.isMarkedForScaleIn || this.#isCold(machine)) continue;
      if (
        !this.#scheduler.feasibleMachines.isSchedulable(machine) ||
        !this.#scheduler.feasibleMachines.mayRunOn(job, machine)
      )
        continue;
      const size = machine.type?.size.cpu ?? 0;
      if (size === 0) continue;
      const planned = extra.get(machine) ?? 0;
      const room = add(machine.freeCapacity(), need, -planned);
      const share = machine.bookedShare() + (need.cpu * planned) / size;
      if (!fits(need, room) || share + need.cpu / size >= this.#ctx.settings.move_high) continue;
      if (!this.#zonesAllow(job, from, machine)) continue;
      // Among equals the one that has the image, so that the gap is short.
      const image = machine.images.get(job.spec.image);
      const rank = share + (image && image.readyAt <= this.#ctx.now ? 1e-6 : 0);
      if (rank > bestShare) {
        bestShare = rank;
        best = machine;
      }
    }
    return best;
  }

  #zonesAllow(job: Job, from: Machine, to: Machine): boolean {
    if (from.zone === to.zone) return true;
    if (job.spec.oneZone && job.placements.size > 1) return false;
    return !job.spec.spread || job.countInZone(to.zone) + 1 <= Math.ceil(job.spec.tasks / 2);
  }

  #proceed(pending: Pending): void {
    const { now, settings } = this.#ctx;
    const { job, record, to, from } = pending;
    const placement = job.placements.get(record.task);
    if (job.state !== "active" || now - pending.since > GIVE_UP_MS) {
      this.#finish(pending, "given up");
      return;
    }
    switch (pending.phase) {
      case "recording":
        break;
      case "draining":
        if (!placement || placement.machine !== from) this.#finish(pending, "the replica is gone");
        else if (now - pending.since < settings.move_drain_s * 1000) {
          // A new leader has yet to hear from the target: only a lost one ends the move before the drain is over.
          if (to.isLeaseExpired || to.phase === "releasing") this.#finish(pending, "the target is lost");
        } else if (!this.#scheduler.feasibleMachines.isSchedulable(to))
          this.#finish(pending, "the target can't be used");
        else {
          pending.phase = "stopping";
          pending.since = now;
          this.#fleet.stopTask(placement, 0, "move");
        }
        break;
      case "stopping":
        break;
      case "starting":
        if (placement?.observedState === "running") this.#finish(pending, "done");
        else if (placement?.machine !== to) this.#finish(pending, "the new copy is gone");
        break;
    }
  }

  /** Called when a placement is proved gone; true if the move takes the task on itself. */
  onPlacementEnded(placement: Placement): boolean {
    const pending = this.#pending;
    if (pending?.phase !== "stopping" || placement.job !== pending.job) return false;
    if (placement.task !== pending.record.task || placement.machine !== pending.from) return false;
    return this.#startOnTarget(pending);
  }

  #startOnTarget(pending: Pending): boolean {
    const { job, to, from, record } = pending;
    to.reservedForMigration = add(to.reservedForMigration, job.spec.need, -1);
    const wellPlaced =
      job.state === "active" &&
      this.#scheduler.feasibleMachines.isSchedulable(to) &&
      fits(job.spec.need, to.freeCapacity()) &&
      this.#scheduler.tasksWithinQuota(job) > 0 &&
      this.#zonesAllow(job, from, to) &&
      !job.placements.has(record.task);
    if (!wellPlaced) {
      this.#pending = null;
      this.#clear();
      return false;
    }
    pending.phase = "starting";
    pending.since = this.#ctx.now;
    this.#scheduler.placeTask(job, record.task, to);
    return true;
  }

  #finish(pending: Pending, how: string): void {
    if (pending.phase !== "starting") {
      pending.to.reservedForMigration = add(pending.to.reservedForMigration, pending.job.spec.need, -1);
      if (pending.to.reservedForMigration.cpu < 0) pending.to.reservedForMigration = NO_RESOURCES;
    }
    this.#pending = null;
    this.#ctx.log("info", "move ends", { ...pending.record, how });
    this.#clear();
  }

  #clear(): void {
    this.#clearing = true;
    this.#recorder.writeMigration(null, () => {
      this.#clearing = false;
    });
  }
}
