import type { Context } from "../context.js";
import type { LeaderLease } from "../election/leader-lease.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import type { Scheduler } from "../scheduling/scheduler.js";

/** Machines of a zone that is cut off are kept so long. */
const CUT_PATIENCE_MS = 300_000;
const MIN_CHARGE_MS = 60_000;

/** Decides which machines are given back: the idle, the stuck, the silent, the broken. */
export class MachineReaper {
  readonly #ctx: Context;
  readonly #term: LeaderLease;
  readonly #tables: ClusterState;
  readonly #scheduler: Scheduler;
  /** Zones that are, or were just now, cut off. */
  readonly #cutUntil = new Map<string, number>();

  constructor(ctx: Context, term: LeaderLease, tables: ClusterState, scheduler: Scheduler) {
    this.#ctx = ctx;
    this.#term = term;
    this.#tables = tables;
    this.#scheduler = scheduler;
  }

  /** Marks a machine as one to be given back. */
  markForTermination(machine: Machine, why: string): void {
    if (machine.phase === "releasing") return;
    machine.phase = "releasing";
    machine.terminationReason = why;
    this.#ctx.log("debug", "machine to be released", { machine: machine.name, why });
  }

  /** Looks at every machine: which is idle, stuck, silent or broken? */
  tick(): void {
    const { now, settings, deployment } = this.#ctx;
    const up = [...this.#tables.machines.values()].filter((m) => m.phase === "up");
    const silentMs = deployment.heartbeatIntervalS * 2600 + 700;
    const silent = up.filter((m) => now - m.heartbeatAt > silentMs).length;
    const fewUnreachable = up.filter((m) => m.unreachableSince !== null).length <= Math.max(1, up.length / 3);
    // When most are silent it is this node that is cut off, not the machines that are gone.
    const hearing = silent <= Math.max(1, up.length / 3);
    const cut = this.#cutZones(up);
    const wanted = this.#wantedKinds();
    for (const machine of this.#tables.machines.values()) {
      switch (machine.phase) {
        case "booting": {
          const bootS = machine.type?.bootS ?? 60;
          if (now - machine.bootingSince > bootS * settings.boot_factor * 1000) {
            this.markForTermination(machine, "it never came up");
          }
          break;
        }
        case "up": {
          // A new leader counts from its beginning: machines it has never heard may be in a zone that is cut off.
          const quiet = now - Math.max(machine.heartbeatAt, this.#term.electedAt);
          if (machine.placements.size > 0 || machine.usedByUnknownTasks.cpu > 0) machine.idleSince = null;
          else machine.idleSince ??= now;
          // A zone that is cut off comes back with its machines and their images; given back they would have
          // to be rented, booted and filled anew, spot ones first, which were taken for taken back.
          if (!hearing || (cut.has(machine.zone) && quiet < CUT_PATIENCE_MS)) break;
          const noticed = machine.reclaimedAt !== null && now > machine.reclaimedAt;
          const unreachableMs =
            machine.unreachableSince === null || !fewUnreachable ? 0 : now - machine.unreachableSince;
          if (unreachableMs > deployment.leaseS * 2000)
            this.markForTermination(machine, "it can't be reached");
          else if (machine.isLeaseExpired && quiet > deployment.leaseS * 2000)
            this.markForTermination(machine, "silent");
          else if (quiet > silentMs && (machine.spot || noticed)) {
            this.markForTermination(machine, "taken back");
          } else if (machine.mode === "drain" && machine.placements.size === 0) {
            this.markForTermination(machine, "drained");
          } else if (
            machine.isMarkedForScaleIn &&
            machine.idleSince !== null &&
            now - machine.bootingSince > MIN_CHARGE_MS
          ) {
            this.markForTermination(machine, "not needed");
          } else if (
            machine.idleSince !== null &&
            machine.type?.size.gpu === 0 &&
            now - machine.idleSince > settings.idle_s * 1000 &&
            now - machine.bootingSince > MIN_CHARGE_MS &&
            !wanted.has(kindOf(machine))
          ) {
            this.markForTermination(machine, "idle");
          }
          break;
        }
        case "releasing":
          break;
      }
    }
  }

  /** Zones most of whose machines have missed a report at the same time. */
  #cutZones(up: readonly Machine[]): Set<string> {
    const { now, deployment } = this.#ctx;
    const missedMs = deployment.heartbeatIntervalS * 1500;
    const counts = new Map<string, { all: number; quiet: number }>();
    for (const { zone, heartbeatAt: heardAt } of up) {
      const count = counts.get(zone) ?? { all: 0, quiet: 0 };
      count.all++;
      if (now - heardAt > missedMs) count.quiet++;
      counts.set(zone, count);
    }
    // When it comes back its workers are heard one after the other: those that are yet to come are not silent.
    for (const [zone, { all, quiet }] of counts)
      if (quiet > 1 && quiet >= all / 2) this.#cutUntil.set(zone, now + deployment.leaseS * 2000);
    return new Set([...this.#cutUntil].filter(([, until]) => now < until).map(([zone]) => zone));
  }

  /**
   * The kinds of machines that some waiting job may be put on. Asked for once in a survey: machine by machine and job by
   * job it took a large idle fleet beside a long queue more than the round itself.
   */
  #wantedKinds(): Set<string> {
    const kinds = new Map<string, Machine>();
    for (const machine of this.#tables.machines.values()) {
      const kind = kindOf(machine);
      if (!kinds.has(kind)) kinds.set(kind, machine);
    }
    const { blocked, feasibleMachines: candidates } = this.#scheduler;
    const wanted = new Set<string>();
    for (const [kind, machine] of kinds)
      if (blocked.some(({ job }) => candidates.mayRunOn(job, machine))) wanted.add(kind);
    return wanted;
  }
}

/** What decides whether a job may be put on a machine at all: type, zone, spot or ordinary. */
function kindOf({ typeName, zone, spot }: Machine): string {
  return `${typeName} ${zone} ${spot}`;
}
