/** Heartbeats of peers of the version before and of this one. */

import type { ControllerHarness } from "./controller-harness.js";

/** A peer heartbeat of the version before: it names no protocol. */
export const PREVIOUS_VERSION_HEARTBEAT = {
  kind: "heartbeat",
  fencingToken: 0,
  leader: null,
  storeHealthy: true,
  agentsHeard: 0,
} as const;

/** A peer heartbeat of this version. */
export const CURRENT_VERSION_HEARTBEAT = { ...PREVIOUS_VERSION_HEARTBEAT, protocol: 2 } as const;

/** Lets the controller n0 receive a heartbeat from each of its peers. */
export function receiveFromBothPeers(
  harness: ControllerHarness,
  heartbeat: typeof PREVIOUS_VERSION_HEARTBEAT | typeof CURRENT_VERSION_HEARTBEAT = CURRENT_VERSION_HEARTBEAT,
): void {
  for (const from of ["n1", "n2"]) harness.handle({ kind: "peerMessage", from, message: heartbeat });
}
