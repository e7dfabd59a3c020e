/** What a node says of its cache: nothing where the standby is not switched on. */
export type Warmth = "cold" | "warm";

/** A peer as this node hears it. */
export interface PeerStandby {
  readonly node: string;
  readonly isHeard: boolean;
  /** Undefined for a peer that can't stand by: switched off, or of an older version. */
  readonly warmth: Warmth | undefined;
}

/**
 * Is this the node that stands by? Of those that can and don't lead, the first by name: all nodes that hear each other agree.
 * Where they don't, two may stand by, which costs requests and nothing else.
 */
export function standsBy(self: string, leader: string | null, peers: readonly PeerStandby[]): boolean {
  if (leader === self) return false;
  return !peers.some(
    ({ node, isHeard, warmth }) => isHeard && warmth !== undefined && node !== leader && node < self,
  );
}
