import type { RenewalFacts } from "./lease-renewal-policy.js";

export type ElectionState =
  | { readonly kind: "follower" }
  | { readonly kind: "candidate"; readonly since: number }
  | { readonly kind: "leader"; readonly term: LeaderLease };

/** The facts of one time in office. */
export interface LeaderLease {
  readonly leaseId: number;
  /** Raised now and then by the leader itself; everything sent carries it. */
  fencingToken: number;
  readonly firstFencingToken: number;
  /** The version of the leader key: every transaction of this leader depends on it. */
  readonly leaderKeyVersion: number;
  epochKeyVersion: number;
  readonly electedAt: number;
  validUntil: number;
  /** No leader before this one answers workers after this time. */
  previousLeaderUntil: number;
}

/** What leadership asks of its node, and tells it. */
export interface ElectionEvents extends RenewalFacts {
  onElected(term: LeaderLease): void;
  onSteppedDown(why: string): void;
  hasStartsInFlight(): boolean;
  /** How long this node leaves it to others to stand, once the leader is gone. */
  campaignDelayMs(): number;
  /** The leader's key is gone, for all that this node knows. */
  onLeaderKeyRemoved(): void;
}
