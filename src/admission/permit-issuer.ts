import type { AdmissionReport, PermitLease, TeamPermits } from "./messages.js";
import { PermitHolder } from "./permit-holder.js";
import type { AdmissionPolicy, TeamPolicy } from "./policy.js";
import { MAX_RESERVATION_S } from "./retry-reservations.js";
import { allocate } from "./shares.js";

/** The time to live of a node's permits, from the sending of the report that the lease answers. */
const LEASE_TTL_MS = 4000;
/** Clocks drift apart by up to 0.05%, and the leader errs late: a permit must expire at the node before it does here. */
const DRIFT_FACTOR = 1.001;
const EXPIRY_MARGIN_MS = 10;
/** Permits of each team that a node is to hold without any demand, so that a first submission need not wait. */
const BASE_PERMITS = 2;
/** Permits that it is to hold beyond that, as a multiple of its demand in the second before. */
const DEMAND_FACTOR = 2;
/** Rates are shared in fractions of a permit: a team with less than one a second gets one every few seconds. */
const FRACTIONS_PER_PERMIT = 100;
/** A demand that no team reaches: for shares of the capacity that is left to be reserved. */
const UNLIMITED_DEMAND = 1e9;

/** The permits that a node is to hold at most, given its demand; it releases what is beyond. */
export function targetPermits(demand: number): number {
  return BASE_PERMITS + DEMAND_FACTOR * demand;
}

/** One team's demand in a round of issuing. Arrays are by node, in the order of the nodes. */
interface TeamDemand {
  readonly name: string;
  readonly weight: number;
  readonly demand: readonly number[];
  /** How many more permits each node is to hold. */
  readonly wanted: readonly number[];
  /** Unfinished jobs, and permits and reservations that may yet become some. */
  readonly used: number;
  /** Permits in escrow, at nodes or on their way to them. */
  readonly outstanding: number;
}

/** What one team is given in a round of issuing. Arrays are by node. */
interface TeamAllocation {
  readonly name: string;
  readonly demand: readonly number[];
  readonly permits: readonly number[];
  /** The admission rate that all nodes together can expect. */
  readonly ratePerS: number;
  /** Unfinished jobs that the team may still have beyond these permits. */
  readonly remainingJobs: number;
}

/** The state of the cluster that a round of issuing depends on. */
export interface IssueInput {
  readonly policy: AdmissionPolicy;
  /** Unfinished jobs by team, those of teams that are no longer in the settings among them. */
  readonly openJobs: ReadonlyMap<string, number>;
  /** All nodes, whether they report or not. */
  readonly nodeCount: number;
  readonly now: number;
}

/**
 * Issues permits to all nodes, at the leader. Permits are in escrow (A1): one that a node holds, or may hold, is issued to
 * no other until the node has reported it spent or released, or until it has expired by the leader's clock, which is
 * later than by the node's (A2). So two nodes never spend the same capacity.
 */
export class PermitIssuer {
  readonly fencingToken: number;
  readonly #holders = new Map<string, PermitHolder>();
  /** Permits that may be spent or issued now, those in escrow included: a token bucket. */
  #bucket: number;
  #refilledAt: number;
  /** Fractions of a permit that each team has saved up. */
  readonly #credit = new Map<string, number>();
  #nextLeaseId = 1;
  #round = 0;

  /** Permits of an earlier leader may still be spent: this one begins with a second's worth (A3). */
  constructor(fencingToken: number, policy: AdmissionPolicy, now: number) {
    this.fencingToken = fencingToken;
    this.#bucket = policy.ratePerS;
    this.#refilledAt = now;
  }

  /** Applies a node's report; what it has spent since the one before leaves the bucket. */
  onReport(node: string, report: AdmissionReport, now: number): void {
    const known = this.#holders.get(node);
    if (known?.report.incarnation === report.incarnation)
      this.#bucket -= known.onReport(report, this.fencingToken, now);
    // An ended incarnation spends nothing more, and the jobs that it accepted are on record.
    else this.#holders.set(node, new PermitHolder(report, now, now + LEASE_TTL_MS));
  }

  /**
   * Issues leases to all nodes that report, by node: up to the permits that each is to hold, as far as the teams' shares
   * of the rate and of the unfinished jobs allow.
   */
  issue({ policy, openJobs, nodeCount, now }: IssueInput): Map<string, PermitLease> {
    for (const holder of this.#holders.values()) holder.removeExpired(now);
    const nodes = [...this.#holders].filter(([, holder]) => holder.canBeIssued(now));
    // A node that does not report may accept its guaranteed minimum: its part of the rate is not issued (A4).
    const ratePerS = policy.ratePerS * Math.min(1, nodes.length / nodeCount);
    this.#refill(ratePerS, policy.burst, now);
    const holders = nodes.map(([, holder]) => holder);
    const teams = policy.teams.map((team) => this.#teamDemand(team, holders, openJobs, now));
    const allocations = this.#allocate(teams, ratePerS, openJobCapacity(policy, openJobs));
    const leases = new Map<string, PermitLease>();
    for (const [index, [node, holder]] of nodes.entries()) {
      const permits = allocations.map((allocation) => permitsOfNode(allocation, index));
      leases.set(node, this.#lease(holder, permits, now));
    }
    return leases;
  }

  #refill(ratePerS: number, burst: number, now: number): void {
    const earned = ((now - this.#refilledAt) * ratePerS) / 1000;
    this.#bucket = Math.min(burst, this.#bucket + earned);
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

  /** Whole permits for each team, for all nodes together. Fractions are saved up as credit. */
  #allocatePermits(teams: readonly TeamDemand[], maxNewJobs: readonly number[]): number[] {
    const escrow = sum(teams.map(({ outstanding }) => outstanding));
    const credit = sum([...this.#credit.values()]);
    const free = Math.max(0, this.#bucket - escrow - credit);
    // What a team holds does not count against its share of the rate: it must be able to hold some at every node.
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

  #lease(holder: PermitHolder, permits: readonly TeamPermits[], now: number): PermitLease {
    const id = this.#nextLeaseId++;
    const expiresAt = now + LEASE_TTL_MS * DRIFT_FACTOR + EXPIRY_MARGIN_MS;
    holder.issue(id, new Map(permits.map(({ team, count }) => [team, count])), expiresAt);
    const { sequence } = holder.report;
    return { fencingToken: this.fencingToken, id, reportSequence: sequence, ttlMs: LEASE_TTL_MS, permits };
  }
}

/** A node's part of what its team is given. It can expect a part of the team's rate, by its part of the demand. */
function permitsOfNode(allocation: TeamAllocation, node: number): TeamPermits {
  const { name, demand, permits, ratePerS, remainingJobs } = allocation;
  const part = expectedDemand(demand[node] ?? 0) / sum(demand.map(expectedDemand));
  // Reservations must not exceed the jobs that the team may still have while they stand.
  const reservableJobs = Math.floor(remainingJobs * part);
  return {
    team: name,
    count: permits[node] ?? 0,
    ratePerS: Math.min(ratePerS * part, reservableJobs / MAX_RESERVATION_S),
  };
}

/**
 * By team, how much of a capacity is left of its share beyond what it uses, as far as it wants more, or wants
 * `extraDemand` more than that.
 */
function remainingShares(teams: readonly TeamDemand[], capacity: number, extraDemand = 0): number[] {
  const claims = teams.map(({ weight, used, wanted }) => ({
    weight,
    demand: used + sum(wanted) + extraDemand,
  }));
  const shares = allocate(capacity, claims);
  return teams.map(({ used }, index) => Math.max(0, (shares[index] ?? 0) - used));
}

/** A node without demand may get some at any time. */
function expectedDemand(demand: number): number {
  return Math.max(1, demand);
}

/** The admission rate that each team can expect, by its demand. */
function expectedRates(ratePerS: number, teams: readonly TeamDemand[]): number[] {
  const claims = teams.map(({ weight, demand }) => {
    return { weight, demand: sum(demand.map(expectedDemand)) * FRACTIONS_PER_PERMIT };
  });
  const fractions = allocate(ratePerS * FRACTIONS_PER_PERMIT, claims);
  return fractions.map((count) => count / FRACTIONS_PER_PERMIT);
}

/** Divides a team's permits among the nodes by what they want. Another node is the first of equals in each round. */
function divideAmongNodes(permits: number, wanted: readonly number[], round: number): number[] {
  const order = wanted.map((_, index) => (index + round) % wanted.length);
  const claims = order.map((node) => ({ weight: 1, demand: wanted[node] ?? 0 }));
  const allocated = allocate(permits, claims);
  const counts = wanted.map(() => 0);
  for (const [place, node] of order.entries()) counts[node] = allocated[place] ?? 0;
  return counts;
}

/** The unfinished jobs that there may be of the policy's teams: those of teams no longer in the settings take some, too. */
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
