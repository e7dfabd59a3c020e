import type { PermitLease } from "./messages.js";
import type { AdmissionPolicy } from "./policy.js";

/**
 * A team's guaranteed minimum, which applies without a lease, accrues for up to this long, but always up to at least
 * one job. A node starts with the full amount.
 */
const MINIMUM_BURST_S = 10;

interface TeamPool {
  /** Unspent leased permits. */
  held: number;
  /** Admissions per second that the leader expects at this node; 0 if it cannot predict them. */
  ratePerS: number;
  /** Permits spent since the start of this node. */
  spent: number;
  /** Jobs that may be accepted without a lease: the accrued guaranteed minimum. */
  accruedMinimum: number;
}

/**
 * Tracks how many jobs of each team this node may accept: leased permits while the lease is valid, otherwise the
 * guaranteed minimum, which accrues by the node's own clock.
 */
export class PermitPool {
  readonly #poolsByTeam = new Map<string, TeamPool>();
  #expiresAt = Number.NEGATIVE_INFINITY;
  #refilledAt = Number.NEGATIVE_INFINITY;
  /** Fencing token and id of the last applied lease; 0 before the first. */
  fencingToken = 0;
  leaseId = 0;

  /**
   * Adds the permits of a lease, unless the same or a newer lease has been applied. The TTL counts from `reportedAt`,
   * when the report that the lease answers was sent, so a lease that arrives late may have expired already.
   */
  apply({ fencingToken, id, ttlMs, permits }: PermitLease, reportedAt: number): void {
    if (fencingToken < this.fencingToken || (fencingToken === this.fencingToken && id <= this.leaseId))
      return;
    this.fencingToken = fencingToken;
    this.leaseId = id;
    for (const { team, count, ratePerS } of permits) {
      const pool = this.#pool(team);
      pool.held += count;
      pool.ratePerS = ratePerS;
    }
    this.#expiresAt = reportedAt + ttlMs;
  }

  /** Expires permits and accrues the guaranteed minimum of each team. */
  tick(policy: AdmissionPolicy, now: number): void {
    if (now >= this.#expiresAt) this.#expire();
    const elapsedS = Math.max(0, Math.min(MINIMUM_BURST_S, (now - this.#refilledAt) / 1000));
    this.#refilledAt = now;
    for (const { name, minimumRatePerS } of policy.teams) {
      const pool = this.#pool(name);
      const maxMinimum = Math.max(1, minimumRatePerS * MINIMUM_BURST_S);
      pool.accruedMinimum = Math.min(maxMinimum, pool.accruedMinimum + minimumRatePerS * elapsedS);
    }
  }

  /** Returns a team's permits in excess of `maxHeld` to the leader by no longer reporting them as held. */
  releaseBeyond(team: string, maxHeld: number): void {
    const pool = this.#pool(team);
    pool.held = Math.min(pool.held, maxHeld);
  }

  /** True while the last lease has not expired and its permits may be spent. */
  isValid(now: number): boolean {
    return now < this.#expiresAt;
  }

  /** Returns the number of jobs of a team that may be accepted now. */
  available(team: string, now: number): number {
    const { held, accruedMinimum } = this.#pool(team);
    return Math.floor(this.isValid(now) ? held : accruedMinimum);
  }

  /** Spends a permit. The balance may become negative, because reservations are honored in any case. */
  spend(team: string, now: number): void {
    const pool = this.#pool(team);
    pool.spent++;
    if (this.isValid(now)) pool.held--;
    else pool.accruedMinimum--;
  }

  /** Returns a permit spent on a job that was not accepted. The count of spent permits never decreases. */
  refund(team: string, now: number): void {
    const pool = this.#pool(team);
    if (this.isValid(now)) pool.held++;
    else pool.accruedMinimum++;
  }

  /** Returns a team's admissions per second that the leader expects at this node; 0 if it cannot predict them. */
  ratePerS(team: string): number {
    return this.#pool(team).ratePerS;
  }

  /** Returns a team's unspent leased permits; negative if more reservations were honored than permits were held. */
  held(team: string): number {
    return this.#pool(team).held;
  }

  /** Returns the permits of a team spent since the start of this node. */
  spent(team: string): number {
    return this.#pool(team).spent;
  }

  #expire(): void {
    for (const pool of this.#poolsByTeam.values()) pool.held = 0;
    this.#expiresAt = Number.NEGATIVE_INFINITY;
  }

  #pool(team: string): TeamPool {
    let pool = this.#poolsByTeam.get(team);
    if (!pool) {
      // The next tick caps the accrued minimum at its limit.
      pool = { held: 0, ratePerS: 0, spent: 0, accruedMinimum: Number.POSITIVE_INFINITY };
      this.#poolsByTeam.set(team, pool);
    }
    return pool;
  }
}
