import { CLOCK_DRIFT_FACTOR } from "../election/lease-renewal-policy.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";

/** The longest time that an agent needs to terminate its tasks after its lease has expired. */
const LEASE_EXPIRY_MARGIN_MS = 600;

/**
 * Returns the time by which an agent has terminated all its tasks if it receives no further reply. This is the
 * lease-based proof of I3. It includes clock drift and the time that terminating the tasks takes.
 */
export function leaseExpiresAt(machine: Machine, leaderLease: LeaderLease, leaseS: number): number {
  const leaseMs = leaseS * 1000 * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN_MS;
  // Each incarnation starts with a full lease, even if none of its heartbeats has been answered.
  const renewedAt = Math.max(machine.repliedAt, machine.incarnationSince);
  if (machine.fencedAt !== null) return Math.max(renewedAt, machine.fencedAt) + leaseMs;
  // The agent is not fenced, so an earlier leader may have replied to it until the end of its grace period. This also
  // holds if this node led the previous term: the leader before that term may still be in its grace period.
  return Math.max(leaderLease.earlierLeadersUntil, renewedAt) + leaseMs;
}
