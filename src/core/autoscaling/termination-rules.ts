import type { Machine } from "../model/machine.js";

/** The machines of a zone that is cut off are kept this long. */
const CUT_OFF_PATIENCE_MS = 300_000;
/** The cloud charges each machine for at least this time: none that is idle is terminated sooner. */
const MIN_CHARGE_MS = 60_000;
/** A machine that is silent or unreachable for this many leases is terminated. */
const UNRESPONSIVE_LEASES = 2;

/** What the rules need to know beside the machine. Times are in ms. */
export interface ClusterHealth {
  readonly now: number;
  readonly electedAt: number;
  readonly leaseMs: number;
  /** A machine without a heartbeat for longer than this is silent. */
  readonly silentAfterMs: number;
  /** An idle machine is kept this long. */
  readonly maxIdleMs: number;
  /** False while so many machines are silent that this node must be cut off, not they. */
  readonly canReceive: boolean;
  /** False while so many machines are unreachable that this node can't send. */
  readonly canSend: boolean;
  readonly cutOffZones: ReadonlySet<string>;
  /** The kinds of machines, as `machineKindOf` names them, that some blocked job may run on. */
  readonly demandedKinds: ReadonlySet<string>;
}

interface TerminationRule {
  readonly reason: string;
  /** `quietMs`: the time since the machine's last heartbeat, or since the election if that was later. */
  applies(machine: Machine, health: ClusterHealth, quietMs: number): boolean;
}

/** Why a machine that is up is terminated; the first rule that applies gives the reason. */
const TERMINATION_RULES: readonly TerminationRule[] = [
  { reason: "unreachable", applies: isUnreachableForLong },
  { reason: "silent", applies: isExpiredForLong },
  { reason: "reclaimed", applies: isReclaimed },
  { reason: "drained", applies: isDrained },
  { reason: "not needed", applies: isSurplus },
  { reason: "idle", applies: isIdleWithoutDemand },
];

/** The reason for which a machine that is up has to be terminated; null if it is kept. */
export function terminationReasonFor(machine: Machine, health: ClusterHealth): string | null {
  // A new leader counts from its election: machines that it has never heard may be in a zone that is cut off.
  const quietMs = health.now - Math.max(machine.heartbeatAt, health.electedAt);
  if (isInPartition(machine, health, quietMs)) return null;
  const rule = TERMINATION_RULES.find(({ applies }) => applies(machine, health, quietMs));
  return rule ? rule.reason : null;
}

/** True for a machine that has been quiet for longer than a machine that works is. */
export function isSilent(quietMs: number, silentAfterMs: number): boolean {
  return quietMs > silentAfterMs;
}

/** What decides whether a job may run on a machine at all: type, zone, spot or on demand. */
export function machineKindOf({ typeName, zone, spot }: Machine): string {
  return `${typeName} ${zone} ${spot}`;
}

/**
 * A zone that was cut off comes back with its machines and their image caches. Once terminated they would have to be
 * created, booted and filled anew, and spot machines would be taken for reclaimed first.
 */
function isInPartition(
  { zone }: Machine,
  { canReceive, cutOffZones }: ClusterHealth,
  quietMs: number,
): boolean {
  return !canReceive || (cutOffZones.has(zone) && quietMs < CUT_OFF_PATIENCE_MS);
}

function isUnreachableForLong(
  { unreachableSince }: Machine,
  { now, canSend, leaseMs }: ClusterHealth,
): boolean {
  return canSend && unreachableSince !== null && now - unreachableSince > UNRESPONSIVE_LEASES * leaseMs;
}

function isExpiredForLong({ isLeaseExpired }: Machine, { leaseMs }: ClusterHealth, quietMs: number): boolean {
  return isLeaseExpired && quietMs > UNRESPONSIVE_LEASES * leaseMs;
}

/** A silent machine is taken for reclaimed if it is a spot machine, or if its interruption notice has run out. */
function isReclaimed(machine: Machine, { now, silentAfterMs }: ClusterHealth, quietMs: number): boolean {
  if (!isSilent(quietMs, silentAfterMs)) return false;
  return machine.spot || (machine.reclaimDueAt !== null && now > machine.reclaimDueAt);
}

function isDrained({ mode, placements }: Machine): boolean {
  return mode === "drain" && placements.size === 0;
}

/** A GPU machine beyond those in use and the headroom. */
function isSurplus(machine: Machine, { now }: ClusterHealth): boolean {
  return machine.isMarkedForScaleIn && machine.idleSince !== null && now - machine.createdAt > MIN_CHARGE_MS;
}

/** GPU machines are not judged by this: the GPU headroom decides how many are kept. */
function isIdleWithoutDemand(machine: Machine, { now, maxIdleMs, demandedKinds }: ClusterHealth): boolean {
  const { idleSince, type } = machine;
  return (
    idleSince !== null &&
    type?.size.gpu === 0 &&
    now - idleSince > maxIdleMs &&
    now - machine.createdAt > MIN_CHARGE_MS &&
    !demandedKinds.has(machineKindOf(machine))
  );
}
