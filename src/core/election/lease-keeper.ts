import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { ELECTION_CALL_TIMEOUT_MS, leaseValidUntil } from "./timing.js";

/** A lease is renewed this many times per TTL. */
const RENEWALS_PER_TTL = 4;

/** Queries and callbacks from {@link LeaseKeeper} to the election. */
export interface LeaseKeeperCallbacks {
  /** The lease of the current term; null while this node is not the leader. */
  currentLease(): LeaderLease | null;
  /** The store no longer has the lease of the current term. */
  onLeaseLost(): void;
}

/** Renews the lease of the current term in the key-value store, and revokes leases. */
export class LeaseKeeper {
  readonly #ctx: Context;
  readonly #callbacks: LeaseKeeperCallbacks;
  #isRenewalInFlight = false;
  #renewalRequestedAt = 0;

  constructor(ctx: Context, callbacks: LeaseKeeperCallbacks) {
    this.#ctx = ctx;
    this.#callbacks = callbacks;
  }

  /** Starts a term, whose lease was requested at the given time. */
  beginTerm(requestedAt: number): void {
    this.#renewalRequestedAt = requestedAt;
  }

  /** Requests the next renewal if it is due and none is in flight. A successful one extends `lease.validUntil`. */
  renewIfDue(lease: LeaderLease): void {
    const requestedAt = this.#ctx.now;
    const intervalMs = lease.ttlMs / RENEWALS_PER_TTL;
    if (this.#isRenewalInFlight || requestedAt - this.#renewalRequestedAt < intervalMs) return;
    this.#isRenewalInFlight = true;
    this.#renewalRequestedAt = requestedAt;
    this.#ctx.callStore(
      { kind: "renewLease", leaseId: lease.leaseId },
      ELECTION_CALL_TIMEOUT_MS,
      (response) => {
        this.#isRenewalInFlight = false;
        if (this.#callbacks.currentLease() !== lease) return;
        if (response.kind === "ok") lease.validUntil = leaseValidUntil(requestedAt, lease.ttlMs);
        else if (response.kind === "notFound") this.#callbacks.onLeaseLost();
      },
    );
  }

  /** Ends a lease in the store, which removes the leader key if that is attached to it. */
  revoke(leaseId: number): void {
    this.#ctx.callStore({ kind: "revokeLease", leaseId }, ELECTION_CALL_TIMEOUT_MS, () => {});
  }
}
