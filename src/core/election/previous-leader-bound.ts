import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { CLOCK_DRIFT_FACTOR, type LeaseRenewalPolicy } from "./lease-renewal-policy.js";

interface LastTerm {
  /** The last fencing token of the term. */
  readonly fencingToken: number;
  /** No leader up to and including that term replies to agents after this time. */
  readonly repliesUntil: number;
}

/**
 * Bounds until when the leaders of earlier terms may go on replying to agents, so that a new leader waits out an agent
 * lease renewed by one of them only where there may be one (I3).
 */
export class PreviousLeaderBound {
  readonly #ctx: Context;
  readonly #policy: LeaseRenewalPolicy;
  /** This process's own last term; null before it has led. */
  #ownLastTerm: LastTerm | null = null;
  /** Peers that have acknowledged a fencing token of this term. */
  readonly #acknowledgedBy = new Set<string>();

  constructor(ctx: Context, policy: LeaseRenewalPolicy) {
    this.#ctx = ctx;
    this.#policy = policy;
  }

  /**
   * Until when an earlier leader may reply, as a term begins with this fencing token. The first leader ever has none
   * before it. If this very process led last, with nobody between (the epoch counts every election), it knows;
   * otherwise the longest grace period after a leader lease is assumed.
   */
  beginTerm(fencingToken: number): number {
    this.#acknowledgedBy.clear();
    const { now, settings } = this.#ctx;
    if (fencingToken === 1) return now;
    if (this.#ownLastTerm && fencingToken === this.#ownLastTerm.fencingToken + 1)
      return this.#ownLastTerm.repliesUntil;
    const longestMs = this.#policy.gracePeriodMs + settings.leader_grant_ms;
    return now + longestMs * CLOCK_DRIFT_FACTOR;
  }

  /** Remembers the term that ends now, for the next one of this process. */
  endTerm(lease: LeaderLease): void {
    const repliesUntil = Math.max(lease.previousLeaderUntil, this.#ctx.now);
    this.#ownLastTerm = { fencingToken: lease.fencingToken, repliesUntil };
  }

  /**
   * A node that has seen a fencing token of this term replies to no agent under an older one, nor does any later process
   * of it: once every peer has, no earlier leader is left. A partitioned peer keeps the bound as it is.
   */
  observePeerToken(lease: LeaderLease, peer: string, fencingToken: number): void {
    if (fencingToken < lease.firstFencingToken || this.#acknowledgedBy.has(peer)) return;
    this.#acknowledgedBy.add(peer);
    if (this.#ctx.deployment.peers.every((name) => this.#acknowledgedBy.has(name)))
      lease.previousLeaderUntil = Math.min(lease.previousLeaderUntil, this.#ctx.now);
  }
}
