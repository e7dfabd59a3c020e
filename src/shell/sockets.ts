/** What a node's sockets are for: bounds that together stay within what the settings allow it. */
export interface SocketShares {
  /** Connections that users, agents, probes and operators may have open here; beyond it they are turned away. */
  readonly inbound: number;
  /** How many of those may be agents': the rest is for probes and users. */
  readonly agentsInbound: number;
  /** How many of these are kept open between heartbeats; an agent beyond them is answered, and its connection closed. */
  readonly agentsKeptOpen: number;
  /** Connections to agents, for direct commands. */
  readonly agentsOutbound: number;
}

/** Key-value store, cloud and peers, with one more each for connections that are being closed; listeners and the like. */
const FIXED_SOCKETS = 96;
const AGENTS_OUTBOUND_PART = 0.1;
const OTHERS_INBOUND_PART = 0.08;
const MIN_OTHERS_INBOUND = 8;
/** The part of the agents' connections that is free for those that are opened for one heartbeat. */
const SHORT_LIVED_PART = 0.1;
const MIN_SHARE = 8;

/**
 * Divides a node's connections. Nearly all go to the listener: after a restart one node may serve the whole fleet for a
 * while. Direct commands need few, as the connection that has been idle longest makes way for another machine's.
 */
export function shareSockets(maxConnections: number): SocketShares {
  const available = Math.max(0, maxConnections - Math.min(FIXED_SOCKETS, Math.floor(maxConnections / 3)));
  const workersOut = Math.max(MIN_SHARE, Math.floor(available * AGENTS_OUTBOUND_PART));
  const inbound = Math.max(2 * MIN_SHARE, available - workersOut);
  const othersInbound = Math.max(MIN_OTHERS_INBOUND, Math.floor(inbound * OTHERS_INBOUND_PART));
  const workersIn = Math.max(1, inbound - othersInbound);
  return {
    inbound,
    agentsInbound: workersIn,
    agentsKeptOpen: Math.floor(workersIn * (1 - SHORT_LIVED_PART)),
    agentsOutbound: workersOut,
  };
}
