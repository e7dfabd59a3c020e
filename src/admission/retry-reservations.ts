import type { ReservationNotice } from "./messages.js";

/** The longest Retry-After: with it nothing is reserved. */
export const MAX_RETRY_AFTER_S = 30;
/** How far ahead reservations are made; beyond it the queue is full. */
export const MAX_RESERVATION_S = MAX_RETRY_AFTER_S - 1;
const MIN_RETRY_AFTER_S = 1;
/** Retry-After is in whole seconds: who keeps to it comes at most this much before the time, or this much after. */
const EARLY_TOLERANCE_MS = 200;
const LATE_TOLERANCE_MS = 5000;
/** Permits are kept for a reservation from this long before it is due. */
const BINDING_LEAD_MS = 1000;
/** Bound permits are counted again only after this long. */
const COUNT_MAX_AGE_MS = 100;
const MAX_RESERVATIONS = 4096;
/** New and redeemed reservations in one report each; the rest follows with the next ones. */
const MAX_NOTICES = 200;

interface Reservation {
  readonly team: string;
  readonly dueAt: number;
  /** False for a reservation of another node, which keeps the permit for it. */
  readonly isOwn: boolean;
}

/**
 * When rejected submissions may be repeated. Each has a place in its team's queue at the node that rejected it. From the
 * time of that place on the node keeps a permit for the submission, and every node accepts it.
 */
export class RetryReservations {
  readonly #byUid = new Map<string, Reservation>();
  /** The time of the next free place in each team's queue. */
  readonly #nextDueAt = new Map<string, number>();
  readonly #unannounced: string[] = [];
  readonly #redeemedOfPeers: string[] = [];
  /** Counts of bound permits by team. Kept for a moment, as there may be thousands of reservations. */
  readonly #boundCounts = new Map<string, { readonly countedAt: number; count: number }>();

  /** Redeems the reservation of a submission, if it has one that is due. Returns whose reservation it was. */
  redeem(uid: string, now: number): "own" | "other" | null {
    const reservation = this.#byUid.get(uid);
    if (!reservation) return null;
    const { dueAt, isOwn } = reservation;
    if (now < dueAt - EARLY_TOLERANCE_MS || now > dueAt + LATE_TOLERANCE_MS) return null;
    this.#remove(uid, reservation);
    if (isOwn) return "own";
    this.#redeemedOfPeers.push(uid);
    return "other";
  }

  /** A peer has redeemed a reservation. Returns the team whose permit is to be spent here, if it was made here. */
  onRedeemedByPeer(uid: string): string | null {
    const reservation = this.#byUid.get(uid);
    if (!reservation) return null;
    this.#remove(uid, reservation);
    return reservation.isOwn ? reservation.team : null;
  }

  #remove(uid: string, { team, isOwn }: Reservation): void {
    this.#byUid.delete(uid);
    const bound = this.#boundCounts.get(team);
    if (isOwn && bound && bound.count > 0) bound.count--;
  }

  /** Takes the peers' reservations that were redeemed here and not reported yet. */
  takeRedeemedOfPeers(): string[] {
    return this.#redeemedOfPeers.splice(0, MAX_NOTICES);
  }

  /** Permits of a team that are kept for reservations which are due, or about to be. */
  boundPermits(team: string, now: number): number {
    const known = this.#boundCounts.get(team);
    if (known && now - known.countedAt < COUNT_MAX_AGE_MS) return known.count;
    let count = 0;
    for (const reservation of this.#byUid.values())
      if (reservation.isOwn && reservation.team === team && reservation.dueAt - now <= BINDING_LEAD_MS)
        count++;
    this.#boundCounts.set(team, { countedAt: now, count });
    return count;
  }

  /**
   * The Retry-After of a rejected submission in seconds, with a reservation at that time. Its team must have an admission
   * rate above 0. A submission repeated early keeps its reservation. Where the queue is full nothing is reserved.
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

  /** Takes the reservations made here that have not been announced to the peers yet. */
  takeUnannounced(now: number): ReservationNotice[] {
    return this.#unannounced.splice(0, MAX_NOTICES).flatMap((uid): ReservationNotice[] => {
      const reservation = this.#byUid.get(uid);
      return reservation ? [{ uid, dueInMs: Math.max(0, Math.round(reservation.dueAt - now)) }] : [];
    });
  }

  /** Adds reservations of a peer. Their team is not announced, as their permits are kept at the peer. */
  addOfPeer(notices: readonly ReservationNotice[], now: number): void {
    for (const { uid, dueInMs } of notices) {
      if (this.#byUid.size >= MAX_RESERVATIONS || this.#byUid.has(uid)) continue;
      const dueAt = now + Math.min(dueInMs, MAX_RETRY_AFTER_S * 1000);
      this.#byUid.set(uid, { team: "", dueAt, isOwn: false });
    }
  }

  /** Drops reservations whose time is over. */
  removeExpired(now: number): void {
    for (const [uid, { dueAt }] of this.#byUid) if (now > dueAt + LATE_TOLERANCE_MS) this.#byUid.delete(uid);
  }

  /** The number of reservations of a team that were made here and not redeemed yet. */
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
