/** Limits of a node's sockets by use. Together they stay within `max_connections`. */
export interface SocketAllocation {
  /** Inbound connections of users, agents, probes and operators; any more are rejected. */
  readonly inbound: number;
  /** How many inbound connections agents may use; the rest is reserved for the others. */
  readonly agentsInbound: number;
  /** How many agent connections stay open between heartbeats; any more are closed after the response. */
  readonly agentsKeptOpen: number;
  /** Outbound connections to agents for direct commands. */
  readonly agentsOutbound: number;
}

/** Connections to the store, cloud and peers, one more for each while it closes, and listeners and the like. */
const FIXED_SOCKETS = 96;
const AGENTS_OUTBOUND_FRACTION = 0.1;
const OTHERS_INBOUND_FRACTION = 0.08;
const MIN_OTHERS_INBOUND = 8;
/** Fraction of the agent connections reserved for those that are opened for a single heartbeat. */
const SHORT_LIVED_FRACTION = 0.1;
const MIN_ALLOCATION = 8;

/**
 * Divides a node's connections by use. Nearly all are for inbound connections, since after a restart one node may serve
 * the whole fleet for a while. Direct commands need few, as the longest idle connection is closed to open another.
 */
export function allocateSockets(maxConnections: number): SocketAllocation {
  const available = Math.max(0, maxConnections - Math.min(FIXED_SOCKETS, Math.floor(maxConnections / 3)));
  const agentsOutbound = Math.max(MIN_ALLOCATION, Math.floor(available * AGENTS_OUTBOUND_FRACTION));
  const inbound = Math.max(2 * MIN_ALLOCATION, available - agentsOutbound);
  const othersInbound = Math.max(MIN_OTHERS_INBOUND, Math.floor(inbound * OTHERS_INBOUND_FRACTION));
  const agentsInbound = Math.max(1, inbound - othersInbound);
  return {
    inbound,
    agentsInbound,
    agentsKeptOpen: Math.floor(agentsInbound * (1 - SHORT_LIVED_FRACTION)),
    agentsOutbound,
  };
}
