import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Reservation } from "../model/placement.js";
import { add, NO_RESOURCES, type Resources } from "../model/resources.js";
import { hasMissedStartDeadline } from "./queue-order.js";

/** A reservation expires after this long; each round renews it while the gang is pending. */
const RESERVATION_MS = 2000;

/** The remaining quota of a team, reserved for one gang. */
interface QuotaReservation {
  readonly job: Job;
  readonly until: number;
}

/** What is reserved for pending gangs: machines, zone by zone, and the remaining quota of their teams. */
export class Reservations {
  readonly #ctx: Context;
  readonly #byZone = new Map<string, Reservation>();
  readonly #quotaByTeam = new Map<string, QuotaReservation>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /**
   * Reserves feasible machines for a gang in the zones it can use: for one bound to a single zone, in that
   * with the most of them. Otherwise smaller jobs would take each machine as it gets free, and the gang would
   * never have enough at once.
   *
   * A firm reservation keeps out work of any priority; starving gangs get one. Of the other gangs only one at
   * a time has reservations: two that each held part of the cluster would leave both parts idle.
   */
  reserveZone(job: Job, isFirm: boolean, feasible: readonly Machine[]): void {
    if (!isFirm && this.#hasReservationOfOther(job)) return;
    const machinesByZone = this.#groupByZone(job, feasible);
    const until = this.#ctx.now + RESERVATION_MS;
    for (const zone of this.#chooseZones(job, machinesByZone)) {
      this.#byZone.set(zone, { job, isFirm, until });
      for (const machine of machinesByZone.get(zone) ?? []) this.#reserveMachine(machine, job, isFirm);
    }
  }

  /** Reserves what is left of its team's quota for a starving gang, unless another gang has reserved it. */
  reserveQuota(job: Job): void {
    const reservation = this.#quotaByTeam.get(job.spec.team);
    if (reservation && this.#isHeldAgainst(reservation, job)) return;
    this.#quotaByTeam.set(job.spec.team, { job, until: this.#ctx.now + RESERVATION_MS });
  }

  /** The quota of its team that the job must leave to a starving gang. Services aren't bound by it. */
  reservedQuota(job: Job): Resources {
    const reservation = this.#quotaByTeam.get(job.spec.team);
    if (!reservation || reservation.job === job || job.spec.shape === "service") return NO_RESOURCES;
    if (reservation.until <= this.#ctx.now || reservation.job.pendingCount === 0) return NO_RESOURCES;
    return add(NO_RESOURCES, reservation.job.spec.need, reservation.job.pendingCount);
  }

  #hasReservationOfOther(job: Job): boolean {
    for (const reservation of this.#byZone.values()) if (this.#isHeldAgainst(reservation, job)) return true;
    return false;
  }

  /** The feasible machines by zone, without the zones that are firmly reserved for another gang. */
  #groupByZone(job: Job, feasible: readonly Machine[]): Map<string, Machine[]> {
    const machinesByZone = new Map<string, Machine[]>();
    for (const machine of feasible) {
      const reservation = this.#byZone.get(machine.zone);
      if (reservation?.isFirm && this.#isHeldAgainst(reservation, job)) continue;
      const machines = machinesByZone.get(machine.zone);
      if (machines) machines.push(machine);
      else machinesByZone.set(machine.zone, [machine]);
    }
    return machinesByZone;
  }

  #chooseZones(job: Job, machinesByZone: ReadonlyMap<string, readonly Machine[]>): string[] {
    const zones = [...machinesByZone.keys()];
    if (!job.spec.oneZone) return zones;
    // A zone once reserved is kept: with a change the machines gathered there would be lost.
    const reserved = zones.find((zone) => this.#byZone.get(zone)?.job === job);
    if (reserved) return [reserved];
    const sizeOf = (zone: string) => machinesByZone.get(zone)?.length ?? 0;
    return zones.sort((a, b) => sizeOf(b) - sizeOf(a)).slice(0, 1);
  }

  #reserveMachine(machine: Machine, job: Job, isFirm: boolean): void {
    const { reservation } = machine;
    if (reservation && this.#isHeldAgainst(reservation, job) && (reservation.isFirm || !isFirm)) return;
    const until = this.#ctx.now + RESERVATION_MS;
    machine.reservation = { job, isFirm, until };
    job.reservationUntil = until;
  }

  /**
   * Is the reservation held against this job? Not if it has expired, or is for a job that can't start in time
   * any more while this one can.
   */
  #isHeldAgainst(reservation: { readonly job: Job; readonly until: number }, job: Job): boolean {
    const { job: holder, until } = reservation;
    if (holder === job || until <= this.#ctx.now || holder.pendingCount === 0) return false;
    return !hasMissedStartDeadline(this.#ctx, holder) || hasMissedStartDeadline(this.#ctx, job);
  }
}
