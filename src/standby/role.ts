/** Whether a node could start a term from its cache. Nodes with the standby disabled report neither value. */
export type Warmth = "cold" | "warm";

/** The standby state of a peer, as known to this node. */
export interface PeerStandby {
  readonly node: string;
  /** True if a heartbeat of the peer arrived recently. */
  readonly isAlive: boolean;
  /** Undefined for a peer that cannot be the standby: it has the standby disabled or runs the previous version. */
  readonly warmth: Warmth | undefined;
}

/**
 * True if this node is the standby: the first by name of the live nodes that have the standby enabled and do not lead.
 * Nodes that receive each other's heartbeats therefore agree. Nodes that do not may both be the standby, which only
 * costs extra requests.
 */
export function isStandby(nodeName: string, leader: string | null, peers: readonly PeerStandby[]): boolean {
  if (leader === nodeName) return false;
  return !peers.some(
    ({ node, isAlive, warmth }) => isAlive && warmth !== undefined && node !== leader && node < nodeName,
  );
}
