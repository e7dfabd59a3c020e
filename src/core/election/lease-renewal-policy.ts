import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";

/** Clocks may drift apart by 0.05%; waiting times are extended by twice that. */
export const CLOCK_DRIFT_FACTOR = 1.001;
/** The grace period of an isolated leader, as a multiple of the leader lease. */
const ISOLATED_GRACE_LEASES = 2;
/** The maximum time for which a watch of the job keys waits for a change. */
const MAX_WATCH_WAIT_MS = 2000;
const MIN_STALENESS_BOUND_MS = 2000;
/** Covers the time in which an agent terminates its tasks at lease expiry, and a confirmation that arrives early. */
const CANCEL_MARGIN_MS = 2500;
/** The same margin in whole seconds, for the bound on the grace period. */
const GRACE_MARGIN_S = 3;

/** Inputs of the renewal policy other than the settings. */
export interface RenewalInputs {
  /** All cancellations confirmed before this time have been applied (I1); null until the records are loaded. */
  cancellationsKnownThrough(): number | null;
  /** True while no peer heartbeats are received. */
  isIsolated(): boolean;
}

/**
 * Decides how long a leader may continue to reply to agents and thereby renew their leases. Two bounds apply: the grace
 * period after its own lease has expired, and the staleness of its view of cancellations (I1).
 */
export class LeaseRenewalPolicy {
  readonly #ctx: Context;
  readonly #inputs: RenewalInputs;

  constructor(ctx: Context, inputs: RenewalInputs) {
    this.#ctx = ctx;
    this.#inputs = inputs;
  }

  /**
   * The grace period by the settings in force, for a leader lease with this TTL. Bounded so that a partitioned leader
   * stops replying, and the agent leases that it renewed expire, before tasks of a cancelled job must end.
   */
  configuredGraceMs(ttlMs: number): number {
    const { cancelS, leaseS } = this.#ctx.deployment;
    const { hold_s: configuredS } = this.#ctx.settings;
    const boundS = cancelS - leaseS * CLOCK_DRIFT_FACTOR - ttlMs / 1000 - GRACE_MARGIN_S;
    return Math.max(0, Math.min(configuredS, boundS)) * 1000;
  }

  /**
   * How long a leader continues to reply to heartbeats after its lease has expired. A change of the settings can shorten
   * it at once. It is extended only once the longer period is on record: the next leader waits for what is on record,
   * as neither of the two knows the settings in force at the other.
   */
  gracePeriodMs({ ttlMs, replyBoundMs }: LeaderLease): number {
    return Math.max(0, Math.min(this.configuredGraceMs(ttlMs), replyBoundMs - ttlMs));
  }

  /**
   * The grace period under current conditions. A leader that has lost the key-value store and all peers is most likely
   * the partitioned one, so it stops replying early and its agents can follow the leader that the other nodes elect.
   */
  currentGracePeriodMs(lease: LeaderLease): number {
    const gracePeriodMs = this.gracePeriodMs(lease);
    return this.#inputs.isIsolated()
      ? Math.min(gracePeriodMs, ISOLATED_GRACE_LEASES * lease.ttlMs)
      : gracePeriodMs;
  }

  /** All cancellations confirmed before this time have been applied; minus infinity until the records are loaded. */
  get cancellationsKnownThrough(): number {
    return this.#inputs.cancellationsKnownThrough() ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Until when heartbeats may be replied to without newer information on cancellations: an agent lease renewed before
   * then expires before any unknown cancellation is due (I1). Independent of the leader lease, because keep-alives may
   * succeed while the watch hangs.
   */
  get cancellationsFreshUntil(): number {
    return this.cancellationsKnownThrough + this.stalenessBoundMs;
  }

  /**
   * For how long a leader may use a view of cancellations, whatever the operator settings: what remains of `cancelS`
   * after an agent lease. The minimum lets a leader reply even if almost nothing remains.
   */
  get stalenessBoundMs(): number {
    const { cancelS, leaseS } = this.#ctx.deployment;
    const boundMs = ((cancelS - leaseS * CLOCK_DRIFT_FACTOR) * 1000 - CANCEL_MARGIN_MS) / CLOCK_DRIFT_FACTOR;
    return Math.max(MIN_STALENESS_BOUND_MS, boundMs);
  }

  /**
   * The maximum wait of a watch request on the job keys. A response covers the changes made before its request, and
   * that view ages until the next response. The wait must be a fraction of the staleness bound, or a healthy leader
   * would resign.
   */
  get watchWaitMs(): number {
    return Math.min(MAX_WATCH_WAIT_MS, this.stalenessBoundMs / 4);
  }
}
