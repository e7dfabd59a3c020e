import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { type ClusterHealth, isSilent, machineKindOf, terminationReasonFor } from "./termination-rules.js";

/** The boot time of a machine whose type is not known. */
const UNKNOWN_BOOT_S = 60;
/** A machine is silent after 2.6 heartbeat intervals and a margin. */
const SILENT_MS_PER_INTERVAL_S = 2600;
const SILENT_MARGIN_MS = 700;
/** A heartbeat is missed after 1.5 intervals. */
const MISSED_MS_PER_INTERVAL_S = 1500;
/** A zone counts as cut off for this many leases after most of its machines were last found quiet. */
const CUT_OFF_LEASES = 2;

/** Decides which machines are terminated: those idle, stuck, silent or broken. The provisioner carries it out. */
export class MachineReaper {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  readonly #scheduler: Scheduler;
  /** Until when each zone counts as cut off. */
  readonly #cutOffUntil = new Map<string, number>();

  constructor(ctx: Context, lease: LeaderLease, cluster: ClusterState, scheduler: Scheduler) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#cluster = cluster;
    this.#scheduler = scheduler;
  }

  /** Marks a machine for termination, unless it is marked already; nothing is placed on it any more. */
  markForTermination(machine: Machine, reason: string): void {
    if (machine.phase === "releasing") return;
    machine.phase = "releasing";
    machine.terminationReason = reason;
    this.#ctx.log("debug", "machine marked for termination", { machine: machine.name, reason });
  }

  /** Judges every machine, and marks those that are to be terminated. */
  tick(): void {
    const health = this.#assessHealth();
    for (const machine of this.#cluster.machines.values()) {
      switch (machine.phase) {
        case "booting":
          this.#judgeBooting(machine);
          break;
        case "up": {
          this.#trackIdleness(machine);
          const reason = terminationReasonFor(machine, health);
          if (reason) this.markForTermination(machine, reason);
          break;
        }
        case "releasing":
          break;
      }
    }
  }

  #judgeBooting(machine: Machine): void {
    const { now, settings } = this.#ctx;
    const bootS = machine.type?.bootS ?? UNKNOWN_BOOT_S;
    if (now - machine.createdAt > bootS * settings.boot_factor * 1000)
      this.markForTermination(machine, "boot timed out");
  }

  #trackIdleness(machine: Machine): void {
    if (machine.placements.size > 0 || machine.usedByUnknownTasks.cpu > 0) machine.idleSince = null;
    else machine.idleSince ??= this.#ctx.now;
  }

  /** What holds for all machines in this tick. */
  #assessHealth(): ClusterHealth {
    const { now, settings, deployment } = this.#ctx;
    const up = [...this.#cluster.machines.values()].filter((machine) => machine.phase === "up");
    const silentAfterMs = deployment.heartbeatIntervalS * SILENT_MS_PER_INTERVAL_S + SILENT_MARGIN_MS;
    const silentCount = up.filter((machine) => isSilent(now - machine.heartbeatAt, silentAfterMs)).length;
    const unreachableCount = up.filter((machine) => machine.unreachableSince !== null).length;
    const tolerableCount = Math.max(1, up.length / 3);
    return {
      now,
      electedAt: this.#lease.electedAt,
      leaseMs: deployment.leaseS * 1000,
      silentAfterMs,
      maxIdleMs: settings.idle_s * 1000,
      canReceive: silentCount <= tolerableCount,
      canSend: unreachableCount <= tolerableCount,
      cutOffZones: this.#cutOffZones(up),
      demandedKinds: this.#demandedKinds(),
    };
  }

  /** The zones most of whose machines have missed a heartbeat at the same time, now or a short time ago. */
  #cutOffZones(up: readonly Machine[]): Set<string> {
    const { now, deployment } = this.#ctx;
    const missedMs = deployment.heartbeatIntervalS * MISSED_MS_PER_INTERVAL_S;
    const counts = new Map<string, { all: number; quiet: number }>();
    for (const { zone, heartbeatAt } of up) {
      const count = counts.get(zone) ?? { all: 0, quiet: 0 };
      count.all++;
      if (now - heartbeatAt > missedMs) count.quiet++;
      counts.set(zone, count);
    }
    // When a zone is connected again its machines report one after the other: those that have yet to are not silent.
    for (const [zone, { all, quiet }] of counts)
      if (quiet > 1 && quiet >= all / 2)
        this.#cutOffUntil.set(zone, now + CUT_OFF_LEASES * deployment.leaseS * 1000);
    return new Set([...this.#cutOffUntil].filter(([, until]) => now < until).map(([zone]) => zone));
  }

  /**
   * The kinds of machines that some blocked job may run on. Computed once a tick for each kind: for each machine and job
   * it would cost a large idle cluster beside a long queue more than a scheduling round.
   */
  #demandedKinds(): Set<string> {
    const kinds = new Map<string, Machine>();
    for (const machine of this.#cluster.machines.values()) {
      const kind = machineKindOf(machine);
      if (!kinds.has(kind)) kinds.set(kind, machine);
    }
    const { blocked, feasibleMachines } = this.#scheduler;
    const demanded = new Set<string>();
    for (const [kind, machine] of kinds)
      if (blocked.some(({ job }) => feasibleMachines.mayRunOn(job, machine))) demanded.add(kind);
    return demanded;
  }
}
