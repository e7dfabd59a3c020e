import type { WindowFacts } from "./lease-renewal-policy.js";

export type LeadershipState =
  | { readonly kind: "follower" }
  | { readonly kind: "candidate"; readonly since: number }
  | { readonly kind: "leader"; readonly term: Term };

/** The facts of one time in office. */
export interface Term {
  readonly grant: number;
  /** Raised now and then by the leader itself; everything sent carries it. */
  token: number;
  readonly firstToken: number;
  /** The version of the leader key: every transaction of this leader depends on it. */
  readonly version: number;
  epochVersion: number;
  readonly since: number;
  confirmedUntil: number;
  /** No leader before this one answers workers after this time. */
  formerUntil: number;
}

/** What leadership asks of its node, and tells it. */
export interface LeadershipEvents extends WindowFacts {
  elected(term: Term): void;
  deposed(why: string): void;
  startsUnderWay(): boolean;
  /** How long this node leaves it to others to stand, once the leader is gone. */
  deferMs(): number;
  /** The leader's key is gone, for all that this node knows. */
  vacant(): void;
}
