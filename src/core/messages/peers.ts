import type { AdmissionMessage } from "../../admission/messages.js";
import type { StoreEntry } from "./store.js";

/** What the controllers say to each other. None of it is needed for a rule to hold. */

/** An agent's heartbeat as a follower forwards it, under the follower's id for it. */
export interface ForwardedHeartbeat {
  readonly id: number;
  readonly body: unknown;
}

/** The leader's reply to a forwarded heartbeat. */
export interface ForwardedReply {
  readonly id: number;
  readonly status: number;
  readonly body: unknown;
}

/** Sent to every peer once a second. */
export interface PeerHeartbeat {
  readonly kind: "heartbeat";
  readonly fencingToken: number;
  readonly leader: string | null;
  readonly storeHealthy: boolean;
  readonly agentsHeard: number;
  /** The protocol that the sender speaks; absent in the version before the first that has one. */
  readonly protocol?: number | undefined;
  /** Whether the sender could lead from its cache of the records; absent where the standby is not switched on. */
  readonly standby?: "cold" | "warm" | undefined;
  /** Absent where fair admission is not switched on. */
  readonly admission?: AdmissionMessage | undefined;
}

/** How far a job is, for display: its id, and how many of its tasks are done and running. */
export type ProgressRow = readonly [uid: string, done: number, running: number];

/** A message between two controllers. */
export type PeerMessage =
  | PeerHeartbeat
  | { readonly kind: "jobRecord"; readonly entry: StoreEntry }
  | { readonly kind: "progress"; readonly rows: readonly ProgressRow[] }
  | { readonly kind: "forwardedHeartbeats"; readonly heartbeats: readonly ForwardedHeartbeat[] }
  | { readonly kind: "forwardedReplies"; readonly replies: readonly ForwardedReply[] };
