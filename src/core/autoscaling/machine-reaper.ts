import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { type Machine, mayRunOn } from "../model/machine.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import {
  type ClusterHealth,
  hasBootTimedOut,
  isSilent,
  machineKindOf,
  terminationReasonFor,
} from "./termination-rules.js";

/** The boot time assumed for a machine of unknown type. */
const UNKNOWN_BOOT_S = 60;
/** A machine is silent after 2.6 heartbeat intervals plus a margin. */
const SILENT_MS_PER_INTERVAL_S = 2600;
const SILENT_MARGIN_MS = 700;
/** A heartbeat is missed after 1.5 intervals. */
const MISSED_MS_PER_INTERVAL_S = 1500;
/** A zone counts as partitioned for this many leases after half of its machines last missed a heartbeat together. */
const PARTITION_LEASES = 2;

/** Marks idle, stuck, silent and failed machines for termination; `MachineTerminator` terminates them. */
export class MachineReaper {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  readonly #scheduler: Scheduler;
  /** When each zone stops counting as partitioned. */
  readonly #partitionedUntil = new Map<string, number>();

  constructor(ctx: Context, lease: LeaderLease, cluster: ClusterState, scheduler: Scheduler) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#cluster = cluster;
    this.#scheduler = scheduler;
  }

  /** Marks a machine for termination, unless already marked. No more tasks are placed on it. */
  markForTermination(machine: Machine, reason: string): void {
    if (machine.phase === "releasing") return;
    machine.phase = "releasing";
    machine.terminationReason = reason;
    this.#ctx.log("debug", "machine marked for termination", { machine: machine.name, reason });
  }

  /** Checks every machine, and marks those to be terminated. */
  tick(): void {
    const health = this.#assessHealth();
    for (const machine of this.#cluster.machines.values()) {
      switch (machine.phase) {
        case "booting":
          this.#checkBootTimeout(machine, health);
          break;
        case "up": {
          this.#updateIdleSince(machine);
          const reason = terminationReasonFor(machine, health);
          if (reason) this.markForTermination(machine, reason);
          break;
        }
        case "releasing":
          break;
      }
    }
  }

  #checkBootTimeout(machine: Machine, health: ClusterHealth): void {
    const bootS = machine.type?.bootS ?? UNKNOWN_BOOT_S;
    const bootTimeoutMs = bootS * this.#ctx.settings.boot_factor * 1000;
    if (hasBootTimedOut(machine, health, bootTimeoutMs)) this.markForTermination(machine, "boot timed out");
  }

  #updateIdleSince(machine: Machine): void {
    if (machine.placements.size > 0 || machine.usedByUnknownTasks.cpu > 0) machine.idleSince = null;
    else machine.idleSince ??= this.#ctx.now;
  }

  /** Assesses the conditions that apply to all machines in this tick. */
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
      partitionedZones: this.#findPartitionedZones(up),
      demandedKinds: this.#demandedKinds(),
    };
  }

  /** Returns the zones in which half of the machines, and at least two, recently missed a heartbeat together. */
  #findPartitionedZones(up: readonly Machine[]): Set<string> {
    const { now, deployment } = this.#ctx;
    const missedMs = deployment.heartbeatIntervalS * MISSED_MS_PER_INTERVAL_S;
    const counts = new Map<string, { all: number; missed: number }>();
    for (const { zone, heartbeatAt } of up) {
      const count = counts.get(zone) ?? { all: 0, missed: 0 };
      count.all++;
      if (now - heartbeatAt > missedMs) count.missed++;
      counts.set(zone, count);
    }
    // After a partition ends, machines report one after the other; those yet to report must not count as silent.
    for (const [zone, { all, missed }] of counts)
      if (missed > 1 && missed >= all / 2)
        this.#partitionedUntil.set(zone, now + PARTITION_LEASES * deployment.leaseS * 1000);
    return new Set([...this.#partitionedUntil].filter(([, until]) => now < until).map(([zone]) => zone));
  }

  /**
   * Returns the kinds of machines that some blocked job may run on. Computed per kind, once per tick: per machine and
   * job, it would cost more than a scheduling round in a large idle cluster with a long queue.
   */
  #demandedKinds(): Set<string> {
    const kinds = new Map<string, Machine>();
    for (const machine of this.#cluster.machines.values()) {
      const kind = machineKindOf(machine);
      if (!kinds.has(kind)) kinds.set(kind, machine);
    }
    const { blocked } = this.#scheduler;
    const demanded = new Set<string>();
    for (const [kind, machine] of kinds)
      if (blocked.some(({ job }) => mayRunOn(job.spec, machine))) demanded.add(kind);
    return demanded;
  }
}
