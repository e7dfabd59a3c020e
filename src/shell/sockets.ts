/** What a node's sockets are for: bounds that together stay within what the settings allow it. */
export interface SocketShares {
  /** Connections that users, workers, probes and operators may have open here; beyond it they are turned away. */
  readonly inbound: number;
  /** How many of those may be workers': the rest is for probes and users. */
  readonly workersIn: number;
  /** How many of these are kept open between reports; a worker beyond them is answered, and its connection closed. */
  readonly workersKept: number;
  /** Connections to workers, for direct commands. */
  readonly workersOut: number;
}

/** State service, cloud and peers, with one spare each for those that are being closed; listeners and the like. */
const FIXED = 96;
const WORKERS_OUT_PART = 0.1;
const OTHERS_IN_PART = 0.08;
const OTHERS_IN_LEAST = 8;
/** The part of the workers' connections that is free for those that come and go with each report. */
const PASSING_PART = 0.1;
const LEAST = 8;

/**
 * Nearly all go to the listener: after a restart one node may hold the whole fleet for a while. Direct commands need few,
 * as the connection that has been idle longest makes way for another machine's.
 */
export function shareSockets(maxConnections: number): SocketShares {
  const free = Math.max(0, maxConnections - Math.min(FIXED, Math.floor(maxConnections / 3)));
  const workersOut = Math.max(LEAST, Math.floor(free * WORKERS_OUT_PART));
  const inbound = Math.max(2 * LEAST, free - workersOut);
  const others = Math.max(OTHERS_IN_LEAST, Math.floor(inbound * OTHERS_IN_PART));
  const workersIn = Math.max(1, inbound - others);
  return { inbound, workersIn, workersKept: Math.floor(workersIn * (1 - PASSING_PART)), workersOut };
}
