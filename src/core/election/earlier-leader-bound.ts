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
export type ReplyBoundSource = "no earlier leader" | "own last term" | "epoch record" | "settings";

/** The time until which a leader of an earlier term may reply to agents. */
export interface ReplyBound {
  readonly until: number;
  readonly source: ReplyBoundSource;
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
   * Starts a term with this fencing token. Returns the bound on the replies of earlier leaders. The first leader
   * of a cluster has no predecessor. If this process also led the previous term (the epoch counts every election, so no
   * other term lies between), its own bound is used. Otherwise the bound is the one that the earlier leader has put on
   * record: it may act on settings other than those in force here. The previous version records none.
   *
   * @param fencingToken The fencing token of the new term.
   * @param previous The epoch record that the election has replaced; null if there was none.
   */
  beginTerm(fencingToken: number, previous: EpochRecord | null): ReplyBound {
    this.#acknowledgedBy.clear();
    const { now, settings } = this.#ctx;
    if (fencingToken === 1) return { until: now, source: "no earlier leader" };
    if (this.#ownLastTerm && fencingToken === this.#ownLastTerm.fencingToken + 1)
      return { until: this.#ownLastTerm.repliesUntil, source: "own last term" };
    if (previous?.replyBoundMs !== undefined)
      return { until: now + previous.replyBoundMs * CLOCK_DRIFT_FACTOR, source: "epoch record" };
    const ttlMs = settings.leader_grant_ms;
    const longestMs = this.#policy.configuredGraceMs(ttlMs) + ttlMs;
    return { until: now + longestMs * CLOCK_DRIFT_FACTOR, source: "settings" };
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
