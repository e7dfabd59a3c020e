import type { AdmissionReport, PermitLease, TeamPermits } from "./messages.js";
import { PermitHolder } from "./permit-holder.js";
import type { AdmissionPolicy, TeamPolicy } from "./policy.js";
import { MAX_RESERVATION_S } from "./retry-reservations.js";
import { allocate } from "./shares.js";

/** TTL of a node's permits, counted from when the node sent the report that the lease answers. */
const LEASE_TTL_MS = 4000;
/**
 * Clocks drift apart by up to 0.05%. The leader expires permits later than the node does, so that a permit is never
 * reissued while the node may still spend it.
 */
const DRIFT_FACTOR = 1.001;
const EXPIRY_MARGIN_MS = 10;
/** Target number of permits per team and node without demand, so that a first submission is admitted immediately. */
const BASE_PERMITS = 2;
/** Target number of permits beyond {@link BASE_PERMITS}, as a multiple of the node's peak demand per report. */
const DEMAND_FACTOR = 2;
/** Rates are allocated in fractions of a permit, so a team with less than one per second gets one every few seconds. */
const FRACTIONS_PER_PERMIT = 100;
/** A demand larger than any real one, to compute each team's full share of the capacity for reservations. */
const UNLIMITED_DEMAND = 1e9;

/** Returns the maximum number of permits that a node should hold for its demand; it releases any excess. */
export function targetPermits(demand: number): number {
  return BASE_PERMITS + DEMAND_FACTOR * demand;
}

/** The demand of one team in one issuing round. Arrays are indexed by node. */
interface TeamDemand {
  readonly name: string;
  readonly weight: number;
  readonly demand: readonly number[];
  /** Permits that each node lacks to reach its target. */
  readonly wanted: readonly number[];
  /** Unfinished jobs, plus permits and reservations that may still turn into jobs. */
  readonly used: number;
  /** Permits in escrow: held by nodes or in transit to them. */
  readonly outstanding: number;
}

/** The allocation of one team in one issuing round. Arrays are indexed by node. */
interface TeamAllocation {
  readonly name: string;
  readonly demand: readonly number[];
  readonly permits: readonly number[];
  /** Expected admissions per second over all nodes. */
  readonly ratePerS: number;
  /** Number of further unfinished jobs that the team may have once these permits are spent. */
  readonly remainingJobs: number;
}

/** The cluster state that an issuing round depends on. */
export interface IssueInput {
  readonly policy: AdmissionPolicy;
  /** Unfinished jobs by team, including teams that are no longer configured. */
  readonly openJobs: ReadonlyMap<string, number>;
  /** Number of all nodes, including those that do not report. */
  readonly nodeCount: number;
  readonly now: number;
}

/**
 * Issues permits to all nodes; runs on the leader. Permits are held in escrow (A1): a permit that a node holds or may
 * hold is not issued to another node until the first has reported it spent or released, or until it has expired. It
 * expires later by the leader's clock than by the node's (A2). Two nodes therefore never spend the same capacity.
 */
export class PermitIssuer {
  readonly fencingToken: number;
  readonly #holders = new Map<string, PermitHolder>();
  /** Token bucket of permits that may be issued or spent now, including those in escrow. */
  #bucket: number;
  #refilledAt: number;
  /** Accumulated fractions of a permit, by team. */
  readonly #credit = new Map<string, number>();
  #nextLeaseId = 1;
  #round = 0;

  /**
   * Permits issued by an earlier leader may still be spent, so the bucket starts with one second's permits rather than
   * the full burst (A3).
   */
  constructor(fencingToken: number, policy: AdmissionPolicy, now: number) {
    this.fencingToken = fencingToken;
    this.#bucket = policy.ratePerS;
    this.#refilledAt = now;
  }

  /** Applies a node's report and removes the permits spent since its previous report from the bucket. */
  onReport(node: string, report: AdmissionReport, now: number): void {
    const known = this.#holders.get(node);
    if (known?.report.incarnation === report.incarnation)
      this.#bucket -= known.onReport(report, this.fencingToken, now);
    // The previous incarnation has ended: it spends no more permits, and the jobs that it accepted have records.
    else this.#holders.set(node, new PermitHolder(report, now, expiresAt(now)));
  }

  /**
   * Issues leases to all eligible nodes and returns them by node. Fills up each node to its target, as far as the
   * teams' shares of the rate and of the unfinished jobs allow.
   */
  issue({ policy, openJobs, nodeCount, now }: IssueInput): Map<string, PermitLease> {
    for (const holder of this.#holders.values()) holder.removeExpired(now);
    const nodes = [...this.#holders].filter(([, holder]) => holder.isEligible(now));
    // A node that does not report may admit the guaranteed minimum, so its part of the rate is withheld (A4).
    const ratePerS = policy.ratePerS * Math.min(1, nodes.length / nodeCount);
    this.#refill(ratePerS, policy.burst, now);
    const holders = nodes.map(([, holder]) => holder);
    const teams = policy.teams.map((team) => this.#teamDemand(team, holders, openJobs, now));
    const allocations = this.#allocate(teams, ratePerS, openJobCapacity(policy, openJobs));
    const leases = new Map<string, PermitLease>();
    for (const [index, [node, holder]] of nodes.entries()) {
      const permits = allocations.map((allocation) => permitsOfNode(allocation, index));
      leases.set(node, this.#issueLease(holder, permits, now));
    }
    return leases;
  }

  #refill(ratePerS: number, burst: number, now: number): void {
    const newPermits = ((now - this.#refilledAt) * ratePerS) / 1000;
    this.#bucket = Math.min(burst, this.#bucket + newPermits);
    this.#refilledAt = now;
  }

  #teamDemand(
    { name, weight }: TeamPolicy,
    holders: readonly PermitHolder[],
    openJobs: ReadonlyMap<string, number>,
    now: number,
  ): TeamDemand {
    const demand = holders.map((holder) => holder.demand(name));
    const wanted = holders.map((holder, index) =>
      Math.max(0, targetPermits(demand[index] ?? 0) - holder.outstanding(name, now)),
    );
    const all = [...this.#holders.values()];
    const outstanding = sum(all.map((holder) => holder.outstanding(name, now)));
    const reserved = sum(all.map((holder) => holder.reserved(name, now)));
    const used = (openJobs.get(name) ?? 0) + outstanding + reserved;
    return { name, weight, demand, wanted, used, outstanding };
  }

  #allocate(teams: readonly TeamDemand[], ratePerS: number, jobCapacity: number): TeamAllocation[] {
    const maxNewJobs = remainingShares(teams, jobCapacity);
    const permits = this.#allocatePermits(teams, maxNewJobs);
    const rates = expectedRates(ratePerS, teams);
    const remaining = remainingShares(teams, jobCapacity, UNLIMITED_DEMAND);
    this.#round++;
    return teams.map(({ name, demand, wanted }, index) => {
      const count = permits[index] ?? 0;
      return {
        name,
        demand,
        permits: divideAmongNodes(count, wanted, this.#round),
        ratePerS: rates[index] ?? 0,
        remainingJobs: (remaining[index] ?? 0) - count,
      };
    });
  }

  /** Computes how many whole permits each team gets over all nodes. Fractions are carried over as credit. */
  #allocatePermits(teams: readonly TeamDemand[], maxNewJobs: readonly number[]): number[] {
    const escrow = sum(teams.map(({ outstanding }) => outstanding));
    const credit = sum([...this.#credit.values()]);
    const free = Math.max(0, this.#bucket - escrow - credit);
    // Permits that a team already holds do not reduce its share of the rate, so that it can hold some at every node.
    const claims = teams.map(({ weight, wanted }, index) => {
      return { weight, demand: Math.min(sum(wanted), maxNewJobs[index] ?? 0) * FRACTIONS_PER_PERMIT };
    });
    const fractions = allocate(free * FRACTIONS_PER_PERMIT, claims);
    return teams.map(({ name, wanted }, index) => {
      const saved = (this.#credit.get(name) ?? 0) + (fractions[index] ?? 0) / FRACTIONS_PER_PERMIT;
      const count = Math.min(Math.floor(saved), sum(wanted), maxNewJobs[index] ?? 0);
      this.#credit.set(name, sum(wanted) > 0 ? Math.min(1, saved - count) : 0);
      return count;
    });
  }

  #issueLease(holder: PermitHolder, permits: readonly TeamPermits[], now: number): PermitLease {
    const id = this.#nextLeaseId++;
    holder.issue(id, new Map(permits.map(({ team, count }) => [team, count])), expiresAt(now));
    const { sequence } = holder.report;
    return { fencingToken: this.fencingToken, id, reportSequence: sequence, ttlMs: LEASE_TTL_MS, permits };
  }
}

/** Returns when all permits that a node may hold now have expired, also by the clock of that node. */
function expiresAt(now: number): number {
  return now + LEASE_TTL_MS * DRIFT_FACTOR + EXPIRY_MARGIN_MS;
}

/**
 * Returns the part of a team's allocation that goes to one node. Its expected rate is proportional to its share of
 * the demand.
 */
function permitsOfNode(allocation: TeamAllocation, node: number): TeamPermits {
  const { name, demand, permits, ratePerS, remainingJobs } = allocation;
  const demandShare = expectedDemand(demand[node] ?? 0) / sum(demand.map(expectedDemand));
  // Outstanding reservations must not exceed the number of further jobs that the team may have.
  const reservableJobs = Math.floor(remainingJobs * demandShare);
  return {
    team: name,
    count: permits[node] ?? 0,
    ratePerS: Math.min(ratePerS * demandShare, reservableJobs / MAX_RESERVATION_S),
  };
}

/**
 * Returns the unused part of each team's share of a capacity. A team's demand is what it uses plus the permits that
 * its nodes lack plus `extraDemand`.
 */
function remainingShares(teams: readonly TeamDemand[], capacity: number, extraDemand = 0): number[] {
  const claims = teams.map(({ weight, used, wanted }) => ({
    weight,
    demand: used + sum(wanted) + extraDemand,
  }));
  const shares = allocate(capacity, claims);
  return teams.map(({ used }, index) => Math.max(0, (shares[index] ?? 0) - used));
}

/** Assumes a demand of 1 at a node without demand, because it may receive a submission at any time. */
function expectedDemand(demand: number): number {
  return Math.max(1, demand);
}

/** Returns the expected admission rate of each team, given its demand. */
function expectedRates(ratePerS: number, teams: readonly TeamDemand[]): number[] {
  const claims = teams.map(({ weight, demand }) => {
    return { weight, demand: sum(demand.map(expectedDemand)) * FRACTIONS_PER_PERMIT };
  });
  const fractions = allocate(ratePerS * FRACTIONS_PER_PERMIT, claims);
  return fractions.map((count) => count / FRACTIONS_PER_PERMIT);
}

/** Divides a team's permits among the nodes by the permits they lack. Ties go to a different node in each round. */
function divideAmongNodes(permits: number, wanted: readonly number[], round: number): number[] {
  const order = wanted.map((_, index) => (index + round) % wanted.length);
  const claims = order.map((node) => ({ weight: 1, demand: wanted[node] ?? 0 }));
  const allocated = allocate(permits, claims);
  const counts = wanted.map(() => 0);
  for (const [position, node] of order.entries()) counts[node] = allocated[position] ?? 0;
  return counts;
}

/** Returns the limit on unfinished jobs of the policy's teams, less the jobs of teams that are no longer configured. */
function openJobCapacity(
  { maxOpenJobs, teams }: AdmissionPolicy,
  openJobs: ReadonlyMap<string, number>,
): number {
  let capacity = maxOpenJobs;
  for (const [team, count] of openJobs) if (!teams.some(({ name }) => name === team)) capacity -= count;
  return Math.max(0, capacity);
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
