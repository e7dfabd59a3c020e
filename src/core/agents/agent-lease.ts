import { CLOCK_DRIFT_FACTOR } from "../election/lease-renewal-policy.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";

/** What an agent may take to end its tasks after its lease has expired. */
const LEASE_EXPIRY_MARGIN_MS = 600;

/**
 * The time from which an agent that has not been answered has ended its tasks: the proof by lease of I3. Clock drift and
 * the time that ending the tasks takes are counted in.
 */
export function leaseExpiresAt(machine: Machine, leaderLease: LeaderLease, leaseS: number): number {
  const leaseMs = leaseS * 1000 * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN_MS;
  // An incarnation has its full lease from its beginning, whether or not a heartbeat of it was ever answered.
  const renewedAt = Math.max(machine.repliedAt, machine.incarnationSince);
  if (machine.fencedAt !== null) return Math.max(renewedAt, machine.fencedAt) + leaseMs;
  // Not fenced: an earlier leader may have answered it up to the end of its grace period. Also where this node follows
  // an earlier incarnation of itself: the leader before that one may still be in its grace period.
  return Math.max(leaderLease.previousLeaderUntil, renewedAt) + leaseMs;
}
