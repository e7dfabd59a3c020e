import type { Context } from "../context.js";

/** Clocks may differ by 0.05%; whatever is waited out is stretched by twice that. */
export const CLOCK_DRIFT_FACTOR = 1.001;
const ISOLATED_GRACE_LEASES = 2;
/** The longest that a follow of the job keys waits for a change. */
const MAX_WATCH_WAIT_MS = 2000;
const MIN_STALENESS_BOUND_MS = 2000;
/** What a worker may take to end its tasks when its lease is over, and a user's answer to arrive early. */
const CANCEL_MARGIN_MS = 2500;

/** What the window depends on beside the settings. */
export interface RenewalFacts {
  /** Every cancellation confirmed before this time is applied here; null before the records are read. */
  cancellationsKnownThrough(): number | null;
  /** True while no other node is heard. */
  isIsolated(): boolean;
}

/** For how long a leader may go on answering workers, and so renewing their leases. */
export class LeaseRenewalPolicy {
  readonly #ctx: Context;
  readonly #facts: RenewalFacts;

  constructor(ctx: Context, facts: RenewalFacts) {
    this.#ctx = ctx;
    this.#facts = facts;
  }

  /**
   * How long an unconfirmed leader goes on answering reports. Bounded so that a cut-off leader and the
   * leases it renewed are over before a cancelled task must be gone.
   */
  get gracePeriodMs(): number {
    const { cancelS, leaseS } = this.#ctx.deployment;
    const { hold_s, leader_grant_ms } = this.#ctx.settings;
    const bound = cancelS - leaseS * CLOCK_DRIFT_FACTOR - leader_grant_ms / 1000 - 3;
    return Math.max(0, Math.min(hold_s, bound)) * 1000;
  }

  /**
   * The hold as things are. A leader that has lost the state service and its peers together is likely the one that is
   * cut off: it lets its workers go soon, to the leader that the others have by then.
   */
  get currentGracePeriodMs(): number {
    const { leader_grant_ms } = this.#ctx.settings;
    return this.#facts.isIsolated()
      ? Math.min(this.gracePeriodMs, ISOLATED_GRACE_LEASES * leader_grant_ms)
      : this.gracePeriodMs;
  }

  /** Every cancellation confirmed before this time is applied here. */
  get cancellationsKnownThrough(): number {
    return this.#facts.cancellationsKnownThrough() ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Until when a cancellation that this leader can't know of may not yet be due: a report answered before then renews a
   * lease that is over in time. It is knowledge that counts, not the grant: renewals may succeed while the follow hangs.
   */
  get knowledgeValidUntil(): number {
    return this.cancellationsKnownThrough + this.#stalenessBoundMs;
  }

  /** What a cancellation's time leaves beside a lease; where that is next to nothing, no leader could answer anybody. */
  get #stalenessBoundMs(): number {
    const { cancelS, leaseS } = this.#ctx.deployment;
    const left = ((cancelS - leaseS * CLOCK_DRIFT_FACTOR) * 1000 - CANCEL_MARGIN_MS) / CLOCK_DRIFT_FACTOR;
    return Math.max(MIN_STALENESS_BOUND_MS, left);
  }

  /**
   * How long a follow may wait: its answer proves knowledge as of when it was asked for, and what is known stays that old
   * until the next one's. With a fixed wait leaders handed over all the time where a cancellation's time is short.
   */
  get watchWaitMs(): number {
    return Math.min(MAX_WATCH_WAIT_MS, this.#stalenessBoundMs / 4);
  }
}
