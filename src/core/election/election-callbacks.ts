import type { LeaderLease } from "../model/leader-lease.js";
import type { RenewalInputs } from "./lease-renewal-policy.js";

/** The role of a node in the election. */
export type ElectionState =
  | { readonly kind: "follower" }
  | { readonly kind: "candidate" }
  | { readonly kind: "leader"; readonly lease: LeaderLease };

/** Queries and callbacks from {@link Election} to its node. */
export interface ElectionCallbacks extends RenewalInputs {
  /** This node has become the leader. */
  onElected(lease: LeaderLease): void;
  /** This node is no longer the leader. */
  onSteppedDown(): void;
  /** True while starts under the current token are unacknowledged or unsent: a new token would make them start over. */
  hasUnacknowledgedStarts(): boolean;
  /** How long this node waits for better candidates after the leader key is removed, in milliseconds. */
  campaignDelayMs(): number;
  /** This node has observed that the leader key was removed. */
  onLeaderKeyRemoved(): void;
}
