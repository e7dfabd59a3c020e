import type { Context } from "./context.js";
import type { Machine } from "./model/machine.js";
import type { PeerTable } from "./peer-table.js";

/** A leader checks its connectivity to agents only if at least this many have sent a heartbeat in its term. */
const MIN_REPORTING_AGENTS = 3;
/** A leader that receives no heartbeat for this many intervals is isolated from the agents. */
const SILENT_HEARTBEAT_INTERVALS = 3;

/**
 * Returns the reason for a leader to resign because it is isolated from its agents, or null if it should not resign.
 *
 * A leader may reach the key-value store but no agent. It would keep its own lease alive while all agent leases expire.
 * It resigns if a peer receives agent heartbeats, or if it receives no peer heartbeats either. If instead all agents
 * hang, the next leader receives no heartbeats either; the backoff after resigning prevents leadership from flapping.
 */
export function reasonToResign(ctx: Context, machines: Iterable<Machine>, peers: PeerTable): string | null {
  const { now, deployment } = ctx;
  const reportingMachines = [...machines].filter(
    (machine) => machine.phase === "up" && !machine.isLeaseExpired && Number.isFinite(machine.heartbeatAt),
  );
  if (reportingMachines.length < MIN_REPORTING_AGENTS) return null;
  // The sending direction: if most agents receive nothing, the fault is likely at this node.
  const unreachableCount = reportingMachines.filter((machine) => machine.unreachableSince !== null).length;
  if (unreachableCount > reportingMachines.length / 2) return "most agents are unreachable from this node";
  const silenceMs = deployment.heartbeatIntervalS * SILENT_HEARTBEAT_INTERVALS * 1000;
  if (reportingMachines.some((machine) => now - machine.heartbeatAt < silenceMs)) return null;
  return peers.areAgentsReportingToAny || peers.isIsolated ? "this node receives no agent heartbeats" : null;
}
