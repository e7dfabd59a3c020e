import type { ReservationNotice } from "./messages.js";

/** The longest Retry-After. It is sent when no reservation could be made. */
export const MAX_RETRY_AFTER_S = 30;
/** How far in the future a reservation may be due. The retry queue of a team is full beyond this. */
export const MAX_RESERVATION_S = MAX_RETRY_AFTER_S - 1;
const MIN_RETRY_AFTER_S = 1;
/** Retry-After is in whole seconds, so a retry may come this long before its reservation is due, or this long after. */
const EARLY_TOLERANCE_MS = 200;
const LATE_TOLERANCE_MS = 5000;
/** How long before a reservation is due a permit is earmarked for it. */
const EARMARK_LEAD_MS = 1000;
/** How long a count of earmarked permits is cached. */
const COUNT_MAX_AGE_MS = 100;
const MAX_RESERVATIONS = 4096;
/** Limit on new and on redeemed reservations per report; the rest is sent with the next reports. */
const MAX_NOTICES = 200;

interface RetryReservation {
  readonly team: string;
  readonly dueAt: number;
  /** False for a reservation made by another node, which earmarks the permit for it. */
  readonly isOwn: boolean;
}

/**
 * Tracks when rejected submissions may be retried. Each has a slot in its team's retry queue at the node that rejected
 * it. Shortly before the slot is due, that node earmarks a permit for the submission. When it is due, any node accepts
 * it.
 */
export class RetryReservations {
  readonly #byUid = new Map<string, RetryReservation>();
  /** When the next free slot in each team's retry queue is due. */
  readonly #nextDueAt = new Map<string, number>();
  readonly #unannounced: string[] = [];
  readonly #redeemedPeerReservations: string[] = [];
  /** Earmarked permits by team. Cached briefly, because there may be thousands of reservations. */
  readonly #earmarkedCounts = new Map<string, { readonly countedAt: number; count: number }>();

  /** Redeems the reservation of a submission. Returns which node made it, or null if there is none that is due. */
  redeem(uid: string, now: number): "own" | "other" | null {
    const reservation = this.#byUid.get(uid);
    if (!reservation) return null;
    const { dueAt, isOwn } = reservation;
    if (now < dueAt - EARLY_TOLERANCE_MS || now > dueAt + LATE_TOLERANCE_MS) return null;
    this.#remove(uid, reservation);
    if (isOwn) return "own";
    this.#redeemedPeerReservations.push(uid);
    return "other";
  }

  /**
   * Removes a reservation that a peer has redeemed. If this node made it, returns the team whose permit must be spent
   * here.
   */
  onRedeemedByPeer(uid: string): string | null {
    const reservation = this.#byUid.get(uid);
    if (!reservation) return null;
    this.#remove(uid, reservation);
    return reservation.isOwn ? reservation.team : null;
  }

  #remove(uid: string, { team, isOwn }: RetryReservation): void {
    this.#byUid.delete(uid);
    const earmarked = this.#earmarkedCounts.get(team);
    if (isOwn && earmarked && earmarked.count > 0) earmarked.count--;
  }

  /** Takes the peers' reservations that were redeemed at this node and have not been reported yet. */
  takeRedeemedPeerReservations(): string[] {
    return this.#redeemedPeerReservations.splice(0, MAX_NOTICES);
  }

  /** Returns the permits of a team that are earmarked for reservations that are due or will be due soon. */
  earmarkedPermits(team: string, now: number): number {
    const known = this.#earmarkedCounts.get(team);
    if (known && now - known.countedAt < COUNT_MAX_AGE_MS) return known.count;
    let count = 0;
    for (const reservation of this.#byUid.values())
      if (reservation.isOwn && reservation.team === team && reservation.dueAt - now <= EARMARK_LEAD_MS)
        count++;
    this.#earmarkedCounts.set(team, { countedAt: now, count });
    return count;
  }

  /**
   * Makes a reservation for a rejected submission and returns its Retry-After in seconds. `ratePerS` must be positive.
   * A submission that is retried early keeps its reservation. If the retry queue is full, no reservation is made.
   */
  reserve(uid: string, team: string, ratePerS: number, now: number): number {
    const known = this.#byUid.get(uid);
    if (known && known.dueAt >= now) return toRetryAfterS(known.dueAt - now);
    const earliestAt = now + MIN_RETRY_AFTER_S * 1000;
    const dueAt = Math.max(earliestAt, this.#nextDueAt.get(team) ?? 0);
    const isFull = dueAt - now > MAX_RESERVATION_S * 1000 || this.#byUid.size >= MAX_RESERVATIONS;
    if (isFull) return MAX_RETRY_AFTER_S;
    this.#nextDueAt.set(team, dueAt + 1000 / ratePerS);
    this.#byUid.set(uid, { team, dueAt, isOwn: true });
    this.#unannounced.push(uid);
    return toRetryAfterS(dueAt - now);
  }

  /** Takes the reservations made by this node that have not been announced to the peers yet. */
  takeUnannounced(now: number): ReservationNotice[] {
    return this.#unannounced.splice(0, MAX_NOTICES).flatMap((uid): ReservationNotice[] => {
      const reservation = this.#byUid.get(uid);
      return reservation ? [{ uid, dueInMs: Math.max(0, Math.round(reservation.dueAt - now)) }] : [];
    });
  }

  /** Adds reservations made by a peer. They are announced without a team, because the peer earmarks the permits. */
  addPeerReservations(notices: readonly ReservationNotice[], now: number): void {
    for (const { uid, dueInMs } of notices) {
      if (this.#byUid.size >= MAX_RESERVATIONS || this.#byUid.has(uid)) continue;
      const dueAt = now + Math.min(dueInMs, MAX_RETRY_AFTER_S * 1000);
      this.#byUid.set(uid, { team: "", dueAt, isOwn: false });
    }
  }

  /** Drops expired reservations. */
  removeExpired(now: number): void {
    for (const [uid, { dueAt }] of this.#byUid) if (now > dueAt + LATE_TOLERANCE_MS) this.#byUid.delete(uid);
  }

  /** Returns the number of reservations for a team that were made by this node and have not been redeemed. */
  countOwn(team: string): number {
    let count = 0;
    for (const reservation of this.#byUid.values())
      if (reservation.isOwn && reservation.team === team) count++;
    return count;
  }
}

function toRetryAfterS(ms: number): number {
  return Math.max(MIN_RETRY_AFTER_S, Math.min(MAX_RETRY_AFTER_S, Math.ceil(ms / 1000)));
}
