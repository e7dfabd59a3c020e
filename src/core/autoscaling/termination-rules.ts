import type { Machine } from "../model/machine.js";

/** How long the silent machines of a partitioned zone are kept. */
const PARTITION_RETENTION_MS = 300_000;
/** The cloud's minimum charge per machine; idle machines are not terminated before this age. */
const MIN_CHARGE_MS = 60_000;
/** A machine is terminated after being silent or unreachable for this many leases. */
const UNRESPONSIVE_LEASES = 2;

/** Cluster-wide inputs of the termination rules. Times are in milliseconds. */
export interface ClusterHealth {
  readonly now: number;
  readonly electedAt: number;
  readonly leaseMs: number;
  /** The time without a heartbeat after which a machine is silent. */
  readonly silentAfterMs: number;
  /** How long an idle machine is kept. */
  readonly maxIdleMs: number;
  /** False while so many machines are silent that this node itself must be partitioned. */
  readonly canReceive: boolean;
  /** False while so many machines are unreachable that this node itself cannot send. */
  readonly canSend: boolean;
  readonly partitionedZones: ReadonlySet<string>;
  /** The kinds of machines that some blocked job may run on; see {@link machineKindOf}. */
  readonly demandedKinds: ReadonlySet<string>;
}

interface TerminationRule {
  readonly reason: string;
  /** `silenceMs` is the time since the machine's last heartbeat, or since the election if that was later. */
  applies(machine: Machine, health: ClusterHealth, silenceMs: number): boolean;
}

/** Rules for terminating a machine that is up, in order; the first that applies gives the reason. */
const TERMINATION_RULES: readonly TerminationRule[] = [
  { reason: "unreachable", applies: isUnreachableForLong },
  { reason: "silent", applies: isExpiredForLong },
  { reason: "reclaimed", applies: isReclaimed },
  { reason: "faulty", applies: isFaultyAndEmpty },
  { reason: "drained", applies: isDrained },
  { reason: "not needed", applies: isSurplus },
  { reason: "idle", applies: isIdleWithoutDemand },
];
/** The reasons that say nothing against the machine: it is up and works, but nothing needs it. */
export const SPARE_REASONS: ReadonlySet<string> = new Set(["not needed", "idle"]);

/** Returns the reason to terminate a machine that is up; null if it is kept. */
export function terminationReasonFor(machine: Machine, health: ClusterHealth): string | null {
  // A new leader counts from its election: machines without a heartbeat yet may be in a partitioned zone.
  const silenceMs = health.now - Math.max(machine.heartbeatAt, health.electedAt);
  if (isKeptDuringPartition(machine, health, silenceMs)) return null;
  const rule = TERMINATION_RULES.find(({ applies }) => applies(machine, health, silenceMs));
  return rule ? rule.reason : null;
}

/**
 * True if a machine that has sent no heartbeat yet should have booted by now. A machine that an earlier leader created may
 * be up already: a new leader waits for its heartbeat as long as for that of any other silent machine.
 *
 * @param machine The machine.
 * @param health The inputs of the termination rules.
 * @param bootTimeoutMs The longest time from the creation of the machine until it is up.
 */
export function hasBootTimedOut(machine: Machine, health: ClusterHealth, bootTimeoutMs: number): boolean {
  const { now, electedAt, leaseMs } = health;
  const silenceMs = now - Math.max(machine.createdAt, electedAt);
  if (isKeptDuringPartition(machine, health, silenceMs)) return false;
  return now - machine.createdAt > bootTimeoutMs && silenceMs > UNRESPONSIVE_LEASES * leaseMs;
}

/** True if the time without a heartbeat is too long for a working machine. */
export function isSilent(silenceMs: number, silentAfterMs: number): boolean {
  return silenceMs > silentAfterMs;
}

/** Returns a key of the properties that job constraints refer to: type, zone, and spot or on-demand. */
export function machineKindOf({ typeName, zone, spot }: Machine): string {
  return `${typeName} ${zone} ${spot}`;
}

/**
 * True if a machine is kept because of a partition. After it, the machines return with their image caches;
 * replacing them would cost boots and image fetches, and spot machines would be presumed reclaimed first.
 */
function isKeptDuringPartition(
  { zone }: Machine,
  { canReceive, partitionedZones }: ClusterHealth,
  silenceMs: number,
): boolean {
  return !canReceive || (partitionedZones.has(zone) && silenceMs < PARTITION_RETENTION_MS);
}

function isUnreachableForLong(
  { unreachableSince }: Machine,
  { now, canSend, leaseMs }: ClusterHealth,
): boolean {
  return canSend && unreachableSince !== null && now - unreachableSince > UNRESPONSIVE_LEASES * leaseMs;
}

function isExpiredForLong(
  { isLeaseExpired }: Machine,
  { leaseMs }: ClusterHealth,
  silenceMs: number,
): boolean {
  return isLeaseExpired && silenceMs > UNRESPONSIVE_LEASES * leaseMs;
}

/** Presumes a silent machine reclaimed if it is a spot machine or its interruption notice has expired. */
function isReclaimed(machine: Machine, { now, silentAfterMs }: ClusterHealth, silenceMs: number): boolean {
  if (!isSilent(silenceMs, silentAfterMs)) return false;
  return machine.spot || (machine.reclaimDueAt !== null && now > machine.reclaimDueAt);
}

function isFaultyAndEmpty({ mode, ejection, placements }: Machine): boolean {
  return mode === "open" && ejection?.mayTerminate === true && placements.size === 0;
}

function isDrained({ mode, placements }: Machine): boolean {
  return mode === "drain" && placements.size === 0;
}

/** True if this is an idle GPU machine beyond those in use and the headroom, past the minimum charge. */
function isSurplus(machine: Machine, { now }: ClusterHealth): boolean {
  return machine.isMarkedForScaleIn && machine.idleSince !== null && now - machine.createdAt > MIN_CHARGE_MS;
}

/** Applies only to machines without GPUs; the GPU headroom decides how many GPU machines are kept. */
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
