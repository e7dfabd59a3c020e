import type { Context } from "../context.js";
import type { Machine } from "../model/machine.js";

/** Missed heartbeats count in this many intervals plus a margin until no task is placed on the machine. */
const RECENT_HEARTBEAT_MS_PER_INTERVAL_S = 2500;
const RECENT_HEARTBEAT_MARGIN_MS = 500;

/**
 * Why no task may be placed on a machine, as shown to operators in the status, metrics and log. The values are part of
 * the operator interface.
 */
export type ExclusionReason =
  | "booting"
  | "terminating"
  | "lease_expired"
  | "cordoned"
  | "drained"
  | "ejected"
  | "faulty"
  | "type_unknown"
  | "not_fenced"
  | "unreachable"
  | "interruption_notice"
  | "no_recent_heartbeat";

/**
 * Returns why no task may be placed on the machine, or null if tasks may be placed. The machine must send heartbeats
 * and be reachable for commands (I7).
 */
export function exclusionReasonOf(ctx: Context, machine: Machine): ExclusionReason | null {
  const { now, deployment } = ctx;
  if (machine.phase === "booting") return "booting";
  if (machine.phase === "releasing") return "terminating";
  if (machine.isLeaseExpired) return "lease_expired";
  if (machine.mode === "cordon") return "cordoned";
  if (machine.mode === "drain") return "drained";
  if (machine.ejection !== null) return machine.ejection.isConfirmed ? "faulty" : "ejected";
  if (machine.type === null) return "type_unknown";
  // A heartbeat without this term's fencing token may be a delayed copy and does not prove presence (I4).
  if (machine.fencedAt === null) return "not_fenced";
  if (machine.unreachableSince !== null) return "unreachable";
  if (machine.reclaimDueAt !== null) return "interruption_notice";
  const recentMs = deployment.heartbeatIntervalS * RECENT_HEARTBEAT_MS_PER_INTERVAL_S;
  return now - machine.heartbeatAt < recentMs + RECENT_HEARTBEAT_MARGIN_MS ? null : "no_recent_heartbeat";
}
