import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Reservation } from "../model/placement.js";
import type { Resources } from "../model/resources.js";
import { add, NO_RESOURCES } from "../model/resources.js";
import { hasMissedStartDeadline } from "./queue-order.js";

/** Renewed in each round for as long as the gang waits. */
const HOLD_MS = 2000;

/** What is kept for gangs that wait: places in a zone, and what is left of a team's limit. */
export class Reservations {
  readonly #ctx: Context;

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /**
   * A gang that needs several places in one zone would never get them while smaller jobs take each one
   * that comes free: the zone that is nearest to having them is held for it, free place by free place.
   */
  reserveZone(job: Job, firm: boolean, candidates: readonly Machine[]): void {
    const { now } = this.#ctx;
    // One gang a zone, and only one in all that is not aged: two that each held part of a zone kept a third of the
    // machines idle. Aged ones hold a zone each: one after the other, the last waited for minutes more.
    const other = (zone: string) => {
      const holder = this.#zoneHolders.get(zone);
      return holder && this.#keeps(holder, job) ? holder : null;
    };
    if (!firm && [...this.#zoneHolders.keys()].some(other)) return;
    const free = new Map<string, Machine[]>();
    for (const machine of candidates) {
      if (other(machine.zone)?.isFirm) continue;
      const list = free.get(machine.zone);
      if (list) list.push(machine);
      else free.set(machine.zone, [machine]);
    }
    // A zone once chosen is kept: what was gathered there would be lost with a change.
    const kept = [...free.keys()].find((zone) => this.#zoneHolders.get(zone)?.job === job);
    let zones = [...free.keys()];
    if (job.spec.oneZone) {
      const size = (zone: string) => free.get(zone)?.length ?? 0;
      zones = kept ? [kept] : zones.sort((x, y) => size(y) - size(x)).slice(0, 1);
    }
    for (const zone of zones) {
      this.#zoneHolders.set(zone, { job, isFirm: firm, until: now + HOLD_MS });
      for (const machine of free.get(zone) ?? []) this.#hold(machine, job, firm);
    }
  }

  readonly #zoneHolders = new Map<string, Reservation>();

  #hold(machine: Machine, job: Job, firm: boolean): void {
    const held = machine.reservation;
    if (held && this.#keeps(held, job) && (held.isFirm || !firm)) return;
    const until = this.#ctx.now + HOLD_MS;
    machine.reservation = { job, isFirm: firm, until };
    job.reservationUntil = until;
  }

  /** Does what is held for another stay so? Not what is held for a job that is too late, if this one is not. */
  #keeps(held: { readonly job: Job; readonly until: number }, job: Job): boolean {
    const ctx = this.#ctx;
    if (held.job === job || held.until <= ctx.now || held.job.pending === 0) return false;
    return !hasMissedStartDeadline(ctx, held.job) || hasMissedStartDeadline(ctx, job);
  }

  /** What is left of a team's limit is kept for an aged gang that needs more of it. */
  readonly #limitHolders = new Map<string, { job: Job; until: number }>();

  reserveQuota(job: Job): void {
    const { now } = this.#ctx;
    const holder = this.#limitHolders.get(job.spec.team);
    if (holder && this.#keeps(holder, job)) return;
    this.#limitHolders.set(job.spec.team, { job, until: now + HOLD_MS });
  }

  reservedQuota(job: Job): Resources {
    const holder = this.#limitHolders.get(job.spec.team);
    if (!holder || holder.job === job || job.spec.shape === "service") return NO_RESOURCES;
    if (holder.until <= this.#ctx.now || holder.job.pending === 0) return NO_RESOURCES;
    return add(NO_RESOURCES, holder.job.spec.need, holder.job.pending);
  }
}
