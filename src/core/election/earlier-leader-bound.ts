import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { EpochRecord } from "../store/records.js";
import { CLOCK_DRIFT_FACTOR, type LeaseRenewalPolicy } from "./lease-renewal-policy.js";

interface LastTerm {
  /** The last fencing token of the term. */
  readonly fencingToken: number;
  /** No leader of this or an earlier term replies to agents after this time. */
  readonly repliesUntil: number;
}

/** What a bound on the replies of earlier leaders is derived from. */
export type ReplyBoundSource = "no earlier leader" | "own last term" | "epoch record" | "cancel_s";

/** How long leaders of earlier terms may reply to agents. */
export interface ReplyBound {
  /** The time from now in milliseconds, by the clock of any node: a node that waits for it has to add the clock drift. */
  readonly durationMs: number;
  readonly source: ReplyBoundSource;
}

/**
 * Returns the bound that a leader puts on record for its successors, in milliseconds from the next election: until then
 * it may reply itself, and so may the leaders before it, whose bound its successor cannot know otherwise.
 *
 * @param ttlMs The TTL of its lease.
 * @param graceMs Its grace period.
 * @param earlierMs The time from now until which earlier leaders may reply; negative if that is over.
 */
export function replyBoundMs(ttlMs: number, graceMs: number, earlierMs: number): number {
  return Math.ceil(Math.max(ttlMs + graceMs, earlierMs));
}

/**
 * Upper bound on how long leaders of earlier terms may continue to reply to agents. With it, a new leader waits for the
 * expiry of an agent lease renewed by an earlier leader only if there may be one (I3).
 */
export class EarlierLeaderBound {
  readonly #ctx: Context;
  readonly #policy: LeaseRenewalPolicy;
  /** The last term of this process as leader; null if there was none. */
  #ownLastTerm: LastTerm | null = null;
  /** Peers that have reported a fencing token of this term or a later one. */
  readonly #acknowledgedBy = new Set<string>();

  constructor(ctx: Context, policy: LeaseRenewalPolicy) {
    this.#ctx = ctx;
    this.#policy = policy;
  }

  /**
   * Returns the bound on the replies of earlier leaders for a term that begins now. The first leader of a cluster has
   * no predecessor. If this process also led the previous term (the epoch counts every election, so no other term lies
   * between), its own bound is used. Otherwise the bound is the one that the earlier leader has put on record, as it
   * may act on settings other than those in force here. The previous version records none, but no version replies with
   * a view of cancellations that is older than allowed.
   *
   * @param fencingToken The fencing token of the term.
   * @param previous The epoch record that its election replaces; null if there is none.
   */
  boundFor(fencingToken: number, previous: EpochRecord | null): ReplyBound {
    const { now } = this.#ctx;
    if (fencingToken === 1) return { durationMs: 0, source: "no earlier leader" };
    if (this.#ownLastTerm && fencingToken === this.#ownLastTerm.fencingToken + 1)
      return { durationMs: Math.max(0, this.#ownLastTerm.repliesUntil - now), source: "own last term" };
    if (previous?.replyBoundMs !== undefined)
      return { durationMs: previous.replyBoundMs, source: "epoch record" };
    return { durationMs: this.#policy.stalenessBoundMs, source: "cancel_s" };
  }

  /**
   * Starts a term, for which no peer has reported a fencing token yet. Returns the time until which leaders of earlier
   * terms may reply.
   */
  beginTerm({ durationMs }: ReplyBound): number {
    this.#acknowledgedBy.clear();
    return this.#ctx.now + durationMs * CLOCK_DRIFT_FACTOR;
  }

  /** Records the term that ends now for the next term of this process. */
  endTerm(lease: LeaderLease): void {
    const repliesUntil = Math.max(lease.earlierLeadersUntil, this.#ctx.now);
    this.#ownLastTerm = { fencingToken: lease.fencingToken, repliesUntil };
  }

  /**
   * A node that has seen a fencing token of this term no longer replies to agents under an older one, nor does any
   * later process of that node. Once all peers have seen one, no earlier leader is active. While a peer is partitioned,
   * the bound stays unchanged.
   */
  observePeerToken(lease: LeaderLease, peer: string, fencingToken: number): void {
    if (fencingToken < lease.firstFencingToken || this.#acknowledgedBy.has(peer)) return;
    this.#acknowledgedBy.add(peer);
    if (!this.#ctx.deployment.peers.every((name) => this.#acknowledgedBy.has(name))) return;
    lease.earlierLeadersUntil = Math.min(lease.earlierLeadersUntil, this.#ctx.now);
    this.#ctx.log("debug", "every peer has reported this term's fencing token", {
      fencing_token: lease.fencingToken,
    });
  }
}
