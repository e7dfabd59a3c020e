import type { PromiseReport } from "./messages.js";

/** Users come back after 30 s at the latest, and as soon as a second later. */
export const LONGEST_WAIT_S = 30;
/** A place in a line is promised for so long ahead: who is told to wait longer is told that there is none yet. */
export const LONGEST_PROMISE_S = LONGEST_WAIT_S - 1;
export const SHORTEST_WAIT_S = 1;
/** `Retry-After` is in whole seconds: who keeps to it comes at most this much before the time, or this much after. */
const EARLY_MS = 200;
const LATE_MS = 5000;
/** A promise binds permits from so long before it is due. */
const BOUND_MS = 1000;
const COUNT_MS = 100;
const MOST_PROMISES = 4096;
/** Promises told to the peers in one report; the rest goes with the next ones. */
const MOST_TOLD = 200;

interface Promised {
  readonly team: string;
  readonly dueAt: number;
  /** False for one that another node gave: its permits are bound there. */
  readonly isOwn: boolean;
}

/**
 * When those that were refused may come back. Each refused submission has a place in its team's line; from the time that
 * it was told on, a permit is kept for it by the node that promised, and any node takes it.
 */
export class Promises {
  readonly #byUid = new Map<string, Promised>();
  /** When the next place in a team's line comes up. */
  readonly #nextAt = new Map<string, number>();
  readonly #untold: string[] = [];
  readonly #kept: string[] = [];
  /** Counted at most so often: there may be thousands. */
  readonly #boundCounts = new Map<string, { readonly at: number; count: number }>();

  /** Keeps the promise given to this submission, if its time has come; tells whose promise it was. */
  keep(uid: string, now: number): "own" | "other" | null {
    const promised = this.#byUid.get(uid);
    if (!promised || now < promised.dueAt - EARLY_MS || now > promised.dueAt + LATE_MS) return null;
    this.#settle(uid, promised);
    if (promised.isOwn) return "own";
    this.#kept.push(uid);
    return "other";
  }

  /** A peer has kept a promise; returns the team whose permit is to be spent here, if it was given here. */
  keptElsewhere(uid: string): string | null {
    const promised = this.#byUid.get(uid);
    if (!promised) return null;
    this.#settle(uid, promised);
    return promised.isOwn ? promised.team : null;
  }

  #settle(uid: string, { team, isOwn }: Promised): void {
    this.#byUid.delete(uid);
    const counted = this.#boundCounts.get(team);
    if (isOwn && counted && counted.count > 0) counted.count--;
  }

  /** The promises of others that were kept here since this was last asked. */
  takeKept(): string[] {
    return this.#kept.splice(0, MOST_TOLD);
  }

  /** Permits of a team that are kept for promises which are due, or about to be. */
  bound(team: string, now: number): number {
    const known = this.#boundCounts.get(team);
    if (known && now - known.at < COUNT_MS) return known.count;
    let count = 0;
    for (const { team: of, dueAt, isOwn } of this.#byUid.values())
      if (isOwn && of === team && dueAt - now <= BOUND_MS) count++;
    this.#boundCounts.set(team, { at: now, count });
    return count;
  }

  /**
   * How many seconds a submission is to wait, where its team is accepted at this rate. The same submission, back too
   * early, is told the same time. Where the line is longer than anybody waits nothing is promised.
   */
  waitS(uid: string, team: string, ratePerS: number, now: number): number {
    const known = this.#byUid.get(uid);
    if (known && known.dueAt >= now) return wholeSeconds(known.dueAt - now);
    const earliest = now + SHORTEST_WAIT_S * 1000;
    const dueAt = Math.max(earliest, this.#nextAt.get(team) ?? 0);
    if (dueAt - now > LONGEST_PROMISE_S * 1000 || this.#byUid.size >= MOST_PROMISES) return LONGEST_WAIT_S;
    this.#nextAt.set(team, dueAt + 1000 / ratePerS);
    this.#byUid.set(uid, { team, dueAt, isOwn: true });
    this.#untold.push(uid);
    return wholeSeconds(dueAt - now);
  }

  /** What the peers have not been told yet. */
  takeUntold(now: number): PromiseReport[] {
    return this.#untold.splice(0, MOST_TOLD).flatMap((uid) => {
      const promised = this.#byUid.get(uid);
      return promised ? [{ uid, inMs: Math.max(0, Math.round(promised.dueAt - now)) }] : [];
    });
  }

  /** What a peer has promised. The team is not told: what counts is that the job is taken. */
  heard(promises: readonly PromiseReport[], now: number): void {
    for (const { uid, inMs } of promises) {
      if (this.#byUid.size >= MOST_PROMISES || this.#byUid.has(uid)) continue;
      this.#byUid.set(uid, { team: "", dueAt: now + Math.min(inMs, LONGEST_WAIT_S * 1000), isOwn: false });
    }
  }

  /** Forgets those who did not come back. */
  sweep(now: number): void {
    for (const [uid, { dueAt }] of this.#byUid) if (now > dueAt + LATE_MS) this.#byUid.delete(uid);
  }

  /** How many submissions of a team this node has told to come back. */
  waiting(team: string): number {
    let count = 0;
    for (const { team: of, isOwn } of this.#byUid.values()) if (isOwn && of === team) count++;
    return count;
  }
}

function wholeSeconds(ms: number): number {
  return Math.max(SHORTEST_WAIT_S, Math.min(LONGEST_WAIT_S, Math.ceil(ms / 1000)));
}
