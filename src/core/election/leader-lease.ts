import type { RenewalFacts } from "./lease-renewal-policy.js";

/** Where a node stands in the election. */
export type ElectionState =
  | { readonly kind: "follower" }
  | { readonly kind: "candidate" }
  | { readonly kind: "leader"; readonly lease: LeaderLease };

/** The lease of one term: proof of leadership, and the fencing token that everything sent in the term carries. */
export interface LeaderLease {
  /** The lease in the key-value store that the leader key is bound to. */
  readonly leaseId: number;
  /** The current fencing token. The leader advances it within its term now and then. */
  fencingToken: number;
  /** The fencing token that the term began with. */
  readonly firstFencingToken: number;
  /** Version of the leader key: every transaction of this leader is conditioned on it (I5). */
  readonly leaderKeyVersion: number;
  /** Version of the epoch key as of the last advance of the fencing token. */
  epochKeyVersion: number;
  readonly electedAt: number;
  /** The lease is valid until this time by this node's clock; each keep-alive extends it. */
  validUntil: number;
  /** No leader of an earlier term replies to agents after this time. */
  previousLeaderUntil: number;
}

/** What the election needs to know of its node, and reports to it. */
export interface ElectionEvents extends RenewalFacts {
  /** This node leads from now on. */
  onElected(lease: LeaderLease): void;
  /** This node no longer leads. */
  onSteppedDown(reason: string): void;
  /** True while starts are recorded but not yet acknowledged: advancing the fencing token would make them begin anew. */
  hasStartsInFlight(): boolean;
  /** How long this node defers to better candidates once the leader key is removed, in milliseconds. */
  campaignDelayMs(): number;
  /** The leader key was removed, as far as this node knows. */
  onLeaderKeyRemoved(): void;
}
