import type { Context } from "../core/context.js";
import type { AdmissionMessage, AdmissionReport, PermitLease, TeamReport } from "./messages.js";
import { PermitIssuer, targetPermits } from "./permit-issuer.js";
import { PermitPool } from "./permit-pool.js";
import { type AdmissionPolicy, policyOf, type TeamPolicy } from "./policy.js";
import { RetryReservations } from "./retry-reservations.js";

/** Retry-After if capacity becomes free only when other jobs end, so that no reservation can be made. */
const RETRY_AFTER_WITHOUT_RATE_S = 10;
/**
 * Number of reports whose sending times are kept. The TTL of a lease counts from when the report it answers was sent.
 */
const REPORTS_KEPT = 8;
/**
 * A leader whose last heartbeat is at most this old and had no admission message has admission disabled or runs the
 * previous version.
 */
const MAX_LEADER_HEARTBEAT_AGE_MS = 3500;
/** Peak demand decays by this factor per heartbeat rather than resetting, because submissions arrive in bursts. */
const DEMAND_DECAY = 0.8;

/** The result of an admission check. */
export type AdmissionDecision =
  /** Admitted. `permitSpent` is false if no permit of this node was spent. */
  | { readonly kind: "admit"; readonly permitSpent: boolean }
  /** Rejected; the client may retry after this many seconds. */
  | { readonly kind: "wait"; readonly retryAfterS: number };

/** What a node's admission decisions are currently based on. */
export type AdmissionMode =
  /** Permits issued by the leader. */
  | "slice"
  /** The guaranteed minimum of each team, because no permit lease is valid. */
  | "floor"
  /** Every submission is admitted, because the leader issues no permits. */
  | "open";

interface TeamCounts {
  /** Submissions since the last heartbeat of this node. */
  submitted: number;
  /** Decaying maximum of submissions per heartbeat interval. */
  peakDemand: number;
  admitted: number;
  refused: number;
  lastRetryAfterS: number;
}

/** Provides the unfinished jobs that the leader takes into account when it issues permits. */
export interface OpenJobSource {
  /** Unfinished jobs by team. */
  openJobs(): ReadonlyMap<string, number>;
}

/**
 * Fair admission: decides which submissions this node accepts now. Each node spends only permits that it holds; the
 * leader issues them to all nodes under one policy. Repeated submissions of accepted jobs, cancellations, polls, agent
 * heartbeats and lease renewals are not subject to admission. No safety invariant depends on it: a wrong count only
 * admits too many or too few jobs.
 */
export class Admission {
  readonly #ctx: Context;
  readonly #incarnation: string;
  readonly #permits = new PermitPool();
  readonly #reservations = new RetryReservations();
  readonly #counts = new Map<string, TeamCounts>();
  /** Sending times of the last reports, by sequence number. */
  readonly #reportSentAt = new Map<number, number>();
  #sequence = 0;
  /** Null while this node is not allowed to issue permits. */
  #issuer: PermitIssuer | null = null;
  /** Leases to send with the next heartbeats, by node. */
  #leases: ReadonlyMap<string, PermitLease> = new Map();
  /** Time of each peer's last heartbeat, and whether it carried an admission message. */
  readonly #peers = new Map<string, { readonly lastHeartbeatAt: number; readonly hasAdmission: boolean }>();
  #leader: string | null = null;
  #report: AdmissionReport;

  constructor(ctx: Context, incarnation: string) {
    this.#ctx = ctx;
    this.#incarnation = incarnation;
    this.#permits.tick(this.#policy, ctx.now);
    this.#report = this.#makeReport();
  }

  get #policy(): AdmissionPolicy {
    return policyOf(this.#ctx.settings, this.#ctx.deployment);
  }

  /** What admission decisions are currently based on. */
  get mode(): AdmissionMode {
    const { now, deployment } = this.#ctx;
    if (this.#permits.isValid(now)) return "slice";
    if (this.#leader === null || this.#leader === deployment.node) return "floor";
    const leader = this.#peers.get(this.#leader);
    const isOpen =
      leader !== undefined &&
      now - leader.lastHeartbeatAt < MAX_LEADER_HEARTBEAT_AGE_MS &&
      !leader.hasAdmission;
    return isOpen ? "open" : "floor";
  }

  /**
   * Decides whether to admit a submission of a job that this node does not know to be accepted. Spends a permit if one
   * is needed.
   */
  decide(uid: string, team: string): AdmissionDecision {
    const { now } = this.#ctx;
    const counts = this.#countsOf(team);
    counts.submitted++;
    const reservation = this.#reservations.redeem(uid, now);
    const freePermits = this.#permits.available(team, now) - this.#reservations.earmarkedPermits(team, now);
    if (reservation !== null || freePermits >= 1 || this.mode === "open") {
      // The permit for another node's reservation is spent at that node. In open mode there may be no permit to spend.
      const permitSpent = reservation === "own" || (reservation === null && freePermits >= 1);
      if (permitSpent) this.#permits.spend(team, now);
      counts.admitted++;
      return { kind: "admit", permitSpent };
    }
    counts.refused++;
    counts.lastRetryAfterS = this.#reserve(uid, team);
    return { kind: "wait", retryAfterS: counts.lastRetryAfterS };
  }

  #reserve(uid: string, team: string): number {
    const ratePerS = this.#ratePerS(team);
    return ratePerS > 0
      ? this.#reservations.reserve(uid, team, ratePerS, this.#ctx.now)
      : RETRY_AFTER_WITHOUT_RATE_S;
  }

  /** Returns the rate at which reservations can be made; 0 if capacity becomes free only when other jobs end. */
  #ratePerS(team: string): number {
    if (this.#permits.isValid(this.#ctx.now)) return this.#permits.ratePerS(team);
    return this.#policy.teams.find(({ name }) => name === team)?.minimumRatePerS ?? 0;
  }

  /** Reverts an admission whose job turned out to be accepted already or whose record could not be written. */
  rollBack(team: string, permitSpent: boolean): void {
    if (permitSpent) this.#permits.refund(team, this.#ctx.now);
    this.#countsOf(team).admitted--;
  }

  /**
   * Must be called before each heartbeat. Builds this node's report and, while it is the leader, issues permits.
   * `fencingToken` is the fencing token of its term, or null if it is not allowed to issue permits.
   */
  tick(leader: string | null, fencingToken: number | null, openJobSource: OpenJobSource): void {
    const { now } = this.#ctx;
    this.#leader = leader;
    const policy = this.#policy;
    this.#permits.tick(policy, now);
    this.#reservations.removeExpired(now);
    for (const counts of this.#counts.values()) {
      counts.peakDemand = Math.max(counts.submitted, Math.floor(counts.peakDemand * DEMAND_DECAY));
      counts.submitted = 0;
    }
    for (const { name } of policy.teams) this.#permits.releaseBeyond(name, this.#maxHeld(name));
    this.#report = this.#makeReport();
    if (fencingToken === null) {
      this.#issuer = null;
      this.#leases = new Map();
    } else this.#issue(fencingToken, policy, openJobSource);
  }

  #issue(fencingToken: number, policy: AdmissionPolicy, openJobSource: OpenJobSource): void {
    const { now, deployment } = this.#ctx;
    if (this.#issuer?.fencingToken !== fencingToken)
      this.#issuer = new PermitIssuer(fencingToken, policy, now);
    this.#issuer.onReport(deployment.node, this.#report, now);
    const nodeCount = deployment.peers.length + 1;
    this.#leases = this.#issuer.issue({ policy, openJobs: openJobSource.openJobs(), nodeCount, now });
    const own = this.#leases.get(deployment.node);
    if (own) this.#applyLease(own);
  }

  #maxHeld(team: string): number {
    const target = targetPermits(this.#countsOf(team).peakDemand);
    return target + this.#reservations.earmarkedPermits(team, this.#ctx.now);
  }

  #makeReport(): AdmissionReport {
    const { now } = this.#ctx;
    this.#sequence++;
    this.#reportSentAt.set(this.#sequence, now);
    this.#reportSentAt.delete(this.#sequence - REPORTS_KEPT);
    const teams = this.#policy.teams.map(({ name }) => this.#teamReport(name));
    return {
      incarnation: this.#incarnation,
      sequence: this.#sequence,
      acknowledgedLease: this.#permits.leaseId,
      acknowledgedToken: this.#permits.fencingToken,
      teams,
      newReservations: this.#reservations.takeUnannounced(now),
      redeemedReservations: this.#reservations.takeRedeemedPeerReservations(),
    };
  }

  #teamReport(team: string): TeamReport {
    return {
      team,
      peakDemand: this.#countsOf(team).peakDemand,
      held: this.#permits.held(team),
      reserved: this.#reservations.countOwn(team),
      spent: this.#permits.spent(team),
    };
  }

  /** Returns the admission message for the next heartbeat to a peer. */
  messageFor(peer: string): AdmissionMessage {
    return { report: this.#report, lease: this.#leases.get(peer) };
  }

  /** Processes a peer's heartbeat. `message` is its admission message, or undefined if it has none. */
  onPeerHeartbeat(from: string, message: AdmissionMessage | undefined): void {
    const { now } = this.#ctx;
    this.#peers.set(from, { lastHeartbeatAt: now, hasAdmission: message !== undefined });
    if (!message) return;
    this.#issuer?.onReport(from, message.report, now);
    this.#reservations.addPeerReservations(message.report.newReservations, now);
    for (const uid of message.report.redeemedReservations) {
      const team = this.#reservations.onRedeemedByPeer(uid);
      if (team !== null) this.#permits.spend(team, now);
    }
    if (message.lease) this.#applyLease(message.lease);
  }

  /** Applies a lease, unless the sending time of the report that it answers is no longer kept. */
  #applyLease(lease: PermitLease): void {
    const reportedAt = this.#reportSentAt.get(lease.reportSequence);
    if (reportedAt !== undefined) this.#permits.apply(lease, reportedAt);
  }

  /** Returns the admission section of the node's status. */
  status(): Record<string, unknown> {
    const { mode, ratePerS, maxOpenJobs, teams } = this.snapshot();
    const rounded = Math.round(ratePerS * 100) / 100;
    return {
      mode,
      rate: rounded,
      open_jobs: maxOpenJobs,
      teams: teams.map(({ lastRetryAfterS, ...team }) => ({ ...team, last_wait_s: lastRetryAfterS })),
    };
  }

  /** Returns the current admission state for metrics and status. */
  snapshot(): AdmissionStatus {
    const { now } = this.#ctx;
    const policy = this.#policy;
    return {
      mode: this.mode,
      ratePerS: policy.ratePerS,
      maxOpenJobs: policy.maxOpenJobs,
      teams: policy.teams.map((team) => this.#teamStatus(team, now)),
    };
  }

  #teamStatus({ name, weight }: TeamPolicy, now: number): TeamStatus {
    const { admitted, refused, lastRetryAfterS } = this.#countsOf(name);
    const available = this.#permits.available(name, now);
    const waiting = this.#reservations.countOwn(name);
    return { name, weight, available, admitted, refused, waiting, lastRetryAfterS };
  }

  #countsOf(team: string): TeamCounts {
    let counts = this.#counts.get(team);
    if (!counts) {
      counts = { submitted: 0, peakDemand: 0, admitted: 0, refused: 0, lastRetryAfterS: 0 };
      this.#counts.set(team, counts);
    }
    return counts;
  }
}

/** The admission state of this node. */
export interface AdmissionStatus {
  readonly mode: AdmissionMode;
  /** Maximum number of jobs accepted per second by all nodes together. */
  readonly ratePerS: number;
  /** Limit on unfinished jobs of all teams; at the limit no new jobs are accepted. */
  readonly maxOpenJobs: number;
  readonly teams: readonly TeamStatus[];
}

/** The entry of one team in an {@link AdmissionStatus}. */
export interface TeamStatus {
  readonly name: string;
  readonly weight: number;
  /** Number of submissions that this node could accept now. */
  readonly available: number;
  /** Submissions accepted since the node started. */
  readonly admitted: number;
  /** Submissions rejected since the node started. */
  readonly refused: number;
  /** Outstanding retry reservations made by this node. */
  readonly waiting: number;
  /** The last Retry-After sent, in seconds; 0 before the first. */
  readonly lastRetryAfterS: number;
}
