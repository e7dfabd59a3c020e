/** Heartbeats of peers that run the previous and the current version. */

import type { ControllerHarness } from "./controller-harness.js";

/** A peer heartbeat of the previous version, which has no protocol version. */
export const PREVIOUS_VERSION_HEARTBEAT = {
  kind: "heartbeat",
  fencingToken: 0,
  leader: null,
  storeHealthy: true,
  agentsHeard: 0,
} as const;

/** A peer heartbeat of the current version. */
export const CURRENT_VERSION_HEARTBEAT = { ...PREVIOUS_VERSION_HEARTBEAT, protocol: 2 } as const;

/** Delivers a heartbeat from each peer to the controller on n0. */
export function receiveFromBothPeers(
  harness: ControllerHarness,
  heartbeat: typeof PREVIOUS_VERSION_HEARTBEAT | typeof CURRENT_VERSION_HEARTBEAT = CURRENT_VERSION_HEARTBEAT,
): void {
  for (const from of ["n1", "n2"]) harness.handle({ kind: "peerMessage", from, message: heartbeat });
}
