import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Reservation } from "../model/placement.js";
import { add, NO_RESOURCES, type Resources } from "../model/resources.js";
import { hasMissedStartDeadline } from "./queue-order.js";

/** How long a reservation lasts. Each round renews it while the gang is pending. */
const RESERVATION_MS = 2000;

/** The remaining quota of a team, reserved for one gang. */
interface QuotaReservation {
  readonly job: Job;
  readonly until: number;
}

/** Reservations for pending gangs: machines, by zone, and the remaining quota of the gangs' teams. */
export class Reservations {
  readonly #ctx: Context;
  readonly #byZone = new Map<string, Reservation>();
  readonly #quotaByTeam = new Map<string, QuotaReservation>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /**
   * Reserves feasible machines for a gang in the zones it can use; for a gang restricted to one zone, in the
   * zone with the most feasible machines. Otherwise smaller jobs would take each machine as it becomes free, and
   * the gang would never find enough machines at the same time.
   *
   * A firm reservation, used for starving gangs, excludes jobs of any priority. A gang that is not starving gets
   * reservations only while no other gang holds any: two gangs that each held part of the cluster would leave both
   * parts idle.
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

  /** Reserves the remaining quota of its team for a starving gang, unless another gang's reservation blocks it. */
  reserveQuota(job: Job): void {
    const reservation = this.#quotaByTeam.get(job.spec.team);
    if (reservation && this.#isBlocking(reservation, job)) return;
    this.#quotaByTeam.set(job.spec.team, { job, until: this.#ctx.now + RESERVATION_MS });
  }

  /** Returns the team quota that this job must leave to a starving gang; none for services, which are exempt. */
  reservedQuota(job: Job): Resources {
    const reservation = this.#quotaByTeam.get(job.spec.team);
    if (!reservation || reservation.job === job || job.spec.shape === "service") return NO_RESOURCES;
    if (reservation.until <= this.#ctx.now || reservation.job.pendingCount === 0) return NO_RESOURCES;
    return add(NO_RESOURCES, reservation.job.spec.need, reservation.job.pendingCount);
  }

  #hasReservationOfOther(job: Job): boolean {
    for (const reservation of this.#byZone.values()) if (this.#isBlocking(reservation, job)) return true;
    return false;
  }

  /** Groups the feasible machines by zone, excluding zones firmly reserved for another gang. */
  #groupByZone(job: Job, feasible: readonly Machine[]): Map<string, Machine[]> {
    const machinesByZone = new Map<string, Machine[]>();
    for (const machine of feasible) {
      const reservation = this.#byZone.get(machine.zone);
      if (reservation?.isFirm && this.#isBlocking(reservation, job)) continue;
      const machines = machinesByZone.get(machine.zone);
      if (machines) machines.push(machine);
      else machinesByZone.set(machine.zone, [machine]);
    }
    return machinesByZone;
  }

  #chooseZones(job: Job, machinesByZone: ReadonlyMap<string, readonly Machine[]>): string[] {
    const zones = [...machinesByZone.keys()];
    if (!job.spec.oneZone) return zones;
    // Keep the zone already reserved: changing it would give up the machines reserved there.
    const reserved = zones.find((zone) => this.#byZone.get(zone)?.job === job);
    if (reserved) return [reserved];
    const sizeOf = (zone: string) => machinesByZone.get(zone)?.length ?? 0;
    return zones.sort((a, b) => sizeOf(b) - sizeOf(a)).slice(0, 1);
  }

  #reserveMachine(machine: Machine, job: Job, isFirm: boolean): void {
    const { reservation } = machine;
    if (reservation && this.#isBlocking(reservation, job) && (reservation.isFirm || !isFirm)) return;
    const until = this.#ctx.now + RESERVATION_MS;
    machine.reservation = { job, isFirm, until };
    job.reservationUntil = until;
  }

  /**
   * True if the reservation blocks this job. It does not if it has expired, or if its holder has missed
   * its start and this job has not.
   */
  #isBlocking(reservation: { readonly job: Job; readonly until: number }, job: Job): boolean {
    const { job: holder, until } = reservation;
    if (holder === job || until <= this.#ctx.now || holder.pendingCount === 0) return false;
    return !hasMissedStartDeadline(this.#ctx, holder) || hasMissedStartDeadline(this.#ctx, job);
  }
}
