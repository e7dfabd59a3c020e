import type { AdminRequest } from "./administration.js";
import type { Heartbeat } from "./agents.js";
import type { CloudResponse } from "./cloud.js";
import type { PeerMessage } from "./peers.js";
import type { StoreResponse } from "./store.js";
import type { SubmittedSpec } from "./users.js";

/** An input to a controller: a request, a response, a peer message, a link change or a timer tick. */
export type Command =
  | { readonly kind: "tick" }
  | {
      readonly kind: "submit";
      readonly requestId: number;
      readonly uid: string;
      readonly submitted: SubmittedSpec;
    }
  | { readonly kind: "poll"; readonly requestId: number; readonly uid: string }
  | { readonly kind: "cancel"; readonly requestId: number; readonly uid: string }
  | { readonly kind: "administer"; readonly requestId: number; readonly request: AdminRequest }
  | {
      readonly kind: "heartbeat";
      readonly requestId: number;
      readonly heartbeat: Heartbeat;
      readonly body: unknown;
    }
  | {
      readonly kind: "agentReplied";
      readonly id: number;
      readonly heartbeat: Heartbeat | null;
      readonly executed: boolean;
    }
  | { readonly kind: "storeResponded"; readonly id: number; readonly response: StoreResponse }
  | { readonly kind: "cloudResponded"; readonly id: number; readonly response: CloudResponse }
  | { readonly kind: "peerMessage"; readonly from: string; readonly message: PeerMessage }
  | {
      readonly kind: "forwardedHeartbeat";
      readonly from: string;
      readonly id: number;
      readonly heartbeat: Heartbeat;
    }
  | { readonly kind: "peerLinkChanged"; readonly node: string; readonly up: boolean };
