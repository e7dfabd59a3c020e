import type { AdmissionMessage } from "../../admission/messages.js";
import type { StoreEntry } from "./store.js";

/** Messages between nodes. No invariant depends on their delivery. */

/** An agent's heartbeat forwarded by a follower; `id` is assigned by the follower. */
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

/** Sent to every peer once per second, and sooner after a change of leadership. */
export interface PeerHeartbeat {
  readonly kind: "heartbeat";
  readonly fencingToken: number;
  readonly leader: string | null;
  readonly storeHealthy: boolean;
  readonly agentsHeard: number;
  /** The sender's protocol version; absent in heartbeats of the previous version. */
  readonly protocol?: number | undefined;
  /** Whether the sender's standby cache is ready for it to become leader; absent if the standby is disabled. */
  readonly standby?: "cold" | "warm" | undefined;
  /** Absent if fair admission is disabled. */
  readonly admission?: AdmissionMessage | undefined;
}

/** A job's progress, for display: its uid and the numbers of its done and running tasks. */
export type ProgressRow = readonly [uid: string, done: number, running: number];

/** A message from one node to another. */
export type PeerMessage =
  | PeerHeartbeat
  | { readonly kind: "jobRecord"; readonly entry: StoreEntry }
  | { readonly kind: "progress"; readonly rows: readonly ProgressRow[] }
  | { readonly kind: "forwardedHeartbeats"; readonly heartbeats: readonly ForwardedHeartbeat[] }
  | { readonly kind: "forwardedReplies"; readonly replies: readonly ForwardedReply[] };
