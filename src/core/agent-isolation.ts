import type { Context } from "./context.js";
import type { Machine } from "./model/machine.js";
import type { PeerTable } from "./peer-table.js";

/** A leader judges its contact with the agents only if so many of them have been heard in its term. */
const MIN_HEARD_AGENTS = 3;
/** A leader that has received no heartbeat for so many intervals is cut off from the agents. */
const SILENT_HEARTBEAT_INTERVALS = 3;

/**
 * Why a leader should resign as cut off from its agents; null if it should not.
 *
 * A leader may reach the key-value store and yet no agent: keeping its lease alive, it would let all agent leases expire.
 * It resigns if a peer hears agents, or if it hears no peer either. Were all agents hanging, the next leader would
 * find the same; the backoff after resigning keeps leadership from flapping.
 */
export function reasonToResign(ctx: Context, machines: Iterable<Machine>, peers: PeerTable): string | null {
  const { now, deployment } = ctx;
  const heardMachines = [...machines].filter(
    (machine) => machine.phase === "up" && !machine.isLeaseExpired && Number.isFinite(machine.heartbeatAt),
  );
  if (heardMachines.length < MIN_HEARD_AGENTS) return null;
  // The other direction: where most agents receive nothing, it is this node that can't send.
  const unreachableCount = heardMachines.filter((machine) => machine.unreachableSince !== null).length;
  if (unreachableCount > heardMachines.length / 2) return "agents can't be reached from this node";
  const silenceMs = deployment.heartbeatIntervalS * SILENT_HEARTBEAT_INTERVALS * 1000;
  if (heardMachines.some((machine) => now - machine.heartbeatAt < silenceMs)) return null;
  return peers.areAgentsHeardByAny || peers.isIsolated ? "no agent is heard by this node" : null;
}
