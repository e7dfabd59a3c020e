import type { Context } from "../context.js";

/** Clocks may drift apart by 0.05%; whatever is waited out is stretched by twice that. */
export const CLOCK_DRIFT_FACTOR = 1.001;
/** The grace period of an isolated leader, in terms of its lease. */
const ISOLATED_GRACE_LEASES = 2;
/** The longest that a watch of the job keys waits for a change. */
const MAX_WATCH_WAIT_MS = 2000;
const MIN_STALENESS_BOUND_MS = 2000;
/** What an agent may need to terminate its tasks when its lease expires, and a user's answer to arrive early. */
const CANCEL_MARGIN_MS = 2500;
/** That margin in whole seconds, as the bound on the grace period reckons with it. */
const GRACE_MARGIN_S = 3;

/** What the renewal policy depends on beside the settings. */
export interface RenewalFacts {
  /** Every cancellation confirmed before this time is applied here (I1); null until the records are loaded. */
  cancellationsKnownThrough(): number | null;
  /** True while no peer is heard. */
  isIsolated(): boolean;
}

/**
 * For how long a leader may go on replying to agents, and so renewing their leases. Two bounds apply: the grace period
 * after its own lease expired, and the staleness of its knowledge of cancellations (I1).
 */
export class LeaseRenewalPolicy {
  readonly #ctx: Context;
  readonly #facts: RenewalFacts;

  constructor(ctx: Context, facts: RenewalFacts) {
    this.#ctx = ctx;
    this.#facts = facts;
  }

  /**
   * How long a leader goes on replying to heartbeats after its lease expired. Bounded so that a partitioned leader and
   * the agent leases that it renewed are over before the tasks of a cancelled job must be.
   */
  get gracePeriodMs(): number {
    const { cancelS, leaseS } = this.#ctx.deployment;
    const { hold_s: configuredS, leader_grant_ms: leaderLeaseMs } = this.#ctx.settings;
    const boundS = cancelS - leaseS * CLOCK_DRIFT_FACTOR - leaderLeaseMs / 1000 - GRACE_MARGIN_S;
    return Math.max(0, Math.min(configuredS, boundS)) * 1000;
  }

  /**
   * The grace period as things are now. A leader that lost the key-value store and all peers at once is most likely the
   * partitioned one: it frees its agents early for the leader that the others elect meanwhile.
   */
  get currentGracePeriodMs(): number {
    const { leader_grant_ms: leaderLeaseMs } = this.#ctx.settings;
    return this.#facts.isIsolated()
      ? Math.min(this.gracePeriodMs, ISOLATED_GRACE_LEASES * leaderLeaseMs)
      : this.gracePeriodMs;
  }

  /** Every cancellation confirmed before this time is applied here; minus infinity until the records are loaded. */
  get cancellationsKnownThrough(): number {
    return this.#facts.cancellationsKnownThrough() ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Until when a heartbeat may be replied to without knowing of newer cancellations: an agent lease renewed before then
   * expires before such a cancellation is due (I1). This depends on knowledge, not on the leader lease: keep-alives may
   * succeed while the watch hangs.
   */
  get knowledgeValidUntil(): number {
    return this.cancellationsKnownThrough + this.#stalenessBoundMs;
  }

  /** What `cancelS` leaves beside an agent lease. The minimum lets a leader reply at all where that is next to nothing. */
  get #stalenessBoundMs(): number {
    const { cancelS, leaseS } = this.#ctx.deployment;
    const boundMs = ((cancelS - leaseS * CLOCK_DRIFT_FACTOR) * 1000 - CANCEL_MARGIN_MS) / CLOCK_DRIFT_FACTOR;
    return Math.max(MIN_STALENESS_BOUND_MS, boundMs);
  }

  /**
   * How long a watch of the job keys may wait. Its response proves knowledge as of the request, and that ages until the
   * next response: the wait has to be a fraction of the staleness bound, or a healthy leader would resign.
   */
  get watchWaitMs(): number {
    return Math.min(MAX_WATCH_WAIT_MS, this.#stalenessBoundMs / 4);
  }
}
