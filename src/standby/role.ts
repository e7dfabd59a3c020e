/** Whether a node could lead from its cache. Nodes without the standby say neither. */
export type Warmth = "cold" | "warm";

/** What this node knows of a peer's part in the standby. */
export interface PeerStandby {
  readonly node: string;
  readonly isHeard: boolean;
  /** Undefined for a peer that can't be a standby: it is switched off there, or the peer is of an older version. */
  readonly warmth: Warmth | undefined;
}

/**
 * Whether this node is the standby: the first by name of those that can be and do not lead, so that all nodes that hear
 * each other agree. Nodes that don't may both be the standby, which costs requests and nothing else.
 */
export function isStandby(self: string, leader: string | null, peers: readonly PeerStandby[]): boolean {
  if (leader === self) return false;
  return !peers.some(
    ({ node, isHeard, warmth }) => isHeard && warmth !== undefined && node !== leader && node < self,
  );
}
