import type { PermitLease } from "./messages.js";
import type { AdmissionPolicy } from "./policy.js";

/** Without a lease a team may save up its guaranteed minimum for this long, and one job at least; a node starts with that. */
const MINIMUM_BURST_S = 10;

interface TeamPool {
  /** Leased permits that are not spent. */
  held: number;
  /** Admissions a second that the leader expects here; 0 where it can't tell. */
  ratePerS: number;
  /** Permits spent since this node started. */
  spent: number;
  /** Jobs that may be accepted without a lease: the guaranteed minimum, saved up. */
  minimum: number;
}

/**
 * What one node may accept of each team: leased permits while the lease is valid, else the guaranteed minimum by the
 * node's own clock.
 */
export class PermitPool {
  readonly #teams = new Map<string, TeamPool>();
  #expiresAt = Number.NEGATIVE_INFINITY;
  #refilledAt = Number.NEGATIVE_INFINITY;
  /** The fencing token and the id of the last lease applied; 0 before the first. */
  fencingToken = 0;
  leaseId = 0;

  /**
   * Adds the permits of a lease, unless one as new has been applied. `reportedAt` is when the report was sent that the
   * lease answers: its time to live counts from there, so a lease that is late has expired at once.
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

  /** Expires permits and refills the guaranteed minimum of each team. */
  tick(policy: AdmissionPolicy, now: number): void {
    if (now >= this.#expiresAt) this.#expire();
    const passedS = Math.max(0, Math.min(MINIMUM_BURST_S, (now - this.#refilledAt) / 1000));
    this.#refilledAt = now;
    for (const { name, minimumRatePerS } of policy.teams) {
      const pool = this.#pool(name);
      const maxMinimum = Math.max(1, minimumRatePerS * MINIMUM_BURST_S);
      pool.minimum = Math.min(maxMinimum, pool.minimum + minimumRatePerS * passedS);
    }
  }

  /** Returns a team's permits beyond `maxHeld` to the leader, by no longer reporting them as held. */
  releaseBeyond(team: string, maxHeld: number): void {
    const pool = this.#pool(team);
    pool.held = Math.min(pool.held, maxHeld);
  }

  /** True while the permits of the last lease may be spent. */
  isValid(now: number): boolean {
    return now < this.#expiresAt;
  }

  /** How many jobs of a team may be accepted now. */
  available(team: string, now: number): number {
    const { held, minimum } = this.#pool(team);
    return Math.floor(this.isValid(now) ? held : minimum);
  }

  /** Spends a permit, if need be one that is not there: a reservation is honoured in any case. */
  spend(team: string, now: number): void {
    const pool = this.#pool(team);
    pool.spent++;
    if (this.isValid(now)) pool.held--;
    else pool.minimum--;
  }

  /** Gives a permit back that was spent on a job which was not accepted. The count of spent permits never decreases. */
  refund(team: string, now: number): void {
    const pool = this.#pool(team);
    if (this.isValid(now)) pool.held++;
    else pool.minimum++;
  }

  /** Admissions of a team a second that the leader expects here; 0 where it can't tell. */
  ratePerS(team: string): number {
    return this.#pool(team).ratePerS;
  }

  /** Leased permits of a team that are not spent; below 0 where reservations were honoured beyond them. */
  held(team: string): number {
    return this.#pool(team).held;
  }

  /** Permits of a team spent since this node started. */
  spent(team: string): number {
    return this.#pool(team).spent;
  }

  #expire(): void {
    for (const pool of this.#teams.values()) pool.held = 0;
    this.#expiresAt = Number.NEGATIVE_INFINITY;
  }

  #pool(team: string): TeamPool {
    let pool = this.#teams.get(team);
    if (!pool) {
      // The first tick cuts the minimum down to its bound.
      pool = { held: 0, ratePerS: 0, spent: 0, minimum: Number.POSITIVE_INFINITY };
      this.#teams.set(team, pool);
    }
    return pool;
  }
}
