import type { LeaderLease } from "../model/leader-lease.js";
import type { RenewalFacts } from "./lease-renewal-policy.js";

/** Where a node stands in the election. */
export type ElectionState =
  | { readonly kind: "follower" }
  | { readonly kind: "candidate" }
  | { readonly kind: "leader"; readonly lease: LeaderLease };

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
