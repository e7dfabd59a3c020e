import type { Context } from "../context.js";
import type { Term } from "../election/leader-lease.js";
import type { Tables } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import type { Scheduler } from "../scheduling/scheduler.js";

/** Machines of a zone that is cut off are kept so long. */
const CUT_PATIENCE_MS = 300_000;
const MIN_CHARGE_MS = 60_000;

/** Decides which machines are given back: the idle, the stuck, the silent, the broken. */
export class MachineWatch {
  readonly #ctx: Context;
  readonly #term: Term;
  readonly #tables: Tables;
  readonly #scheduler: Scheduler;
  /** Zones that are, or were just now, cut off. */
  readonly #cutUntil = new Map<string, number>();

  constructor(ctx: Context, term: Term, tables: Tables, scheduler: Scheduler) {
    this.#ctx = ctx;
    this.#term = term;
    this.#tables = tables;
    this.#scheduler = scheduler;
  }

  /** Marks a machine as one to be given back. */
  giveUp(machine: Machine, why: string): void {
    if (machine.phase === "releasing") return;
    machine.phase = "releasing";
    machine.releaseWhy = why;
    this.#ctx.log("debug", "machine to be released", { machine: machine.name, why });
  }

  /** Looks at every machine: which is idle, stuck, silent or broken? */
  tick(): void {
    const { now, settings, deployment } = this.#ctx;
    const up = [...this.#tables.machines.values()].filter((m) => m.phase === "up");
    const silentMs = deployment.heartbeatIntervalS * 2600 + 700;
    const silent = up.filter((m) => now - m.heardAt > silentMs).length;
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
            this.giveUp(machine, "it never came up");
          }
          break;
        }
        case "up": {
          // A new leader counts from its beginning: machines it has never heard may be in a zone that is cut off.
          const quiet = now - Math.max(machine.heardAt, this.#term.since);
          if (machine.placements.size > 0 || machine.strayUse.cpu > 0) machine.idleSince = null;
          else machine.idleSince ??= now;
          // A zone that is cut off comes back with its machines and their images; given back they would have
          // to be rented, booted and filled anew, spot ones first, which were taken for taken back.
          if (!hearing || (cut.has(machine.zone) && quiet < CUT_PATIENCE_MS)) break;
          const noticed = machine.noticeUntil !== null && now > machine.noticeUntil;
          const unreachableMs =
            machine.unreachableSince === null || !fewUnreachable ? 0 : now - machine.unreachableSince;
          if (unreachableMs > deployment.leaseS * 2000) this.giveUp(machine, "it can't be reached");
          else if (machine.lost && quiet > deployment.leaseS * 2000) this.giveUp(machine, "silent");
          else if (quiet > silentMs && (machine.spot || noticed)) {
            this.giveUp(machine, "taken back");
          } else if (machine.mode === "drain" && machine.placements.size === 0) {
            this.giveUp(machine, "drained");
          } else if (
            machine.retiring &&
            machine.idleSince !== null &&
            now - machine.bootingSince > MIN_CHARGE_MS
          ) {
            this.giveUp(machine, "not needed");
          } else if (
            machine.idleSince !== null &&
            machine.type?.size.gpu === 0 &&
            now - machine.idleSince > settings.idle_s * 1000 &&
            now - machine.bootingSince > MIN_CHARGE_MS &&
            !wanted.has(kindOf(machine))
          ) {
            this.giveUp(machine, "idle");
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
    for (const { zone, heardAt } of up) {
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
    const { blocked, candidates } = this.#scheduler;
    const wanted = new Set<string>();
    for (const [kind, machine] of kinds)
      if (blocked.some(({ job }) => candidates.allows(job, machine))) wanted.add(kind);
    return wanted;
  }
}

/** What decides whether a job may be put on a machine at all: type, zone, spot or ordinary. */
function kindOf({ typeName, zone, spot }: Machine): string {
  return `${typeName} ${zone} ${spot}`;
}
