import type { Context } from "../core/context.js";
import type { AdmissionMessage, AdmissionReport, PermitLease, TeamReport } from "./messages.js";
import { PermitIssuer, targetPermits } from "./permit-issuer.js";
import { PermitPool } from "./permit-pool.js";
import { type AdmissionPolicy, policyOf, type TeamPolicy } from "./policy.js";
import { RetryReservations } from "./retry-reservations.js";

/** The Retry-After where capacity comes only when other jobs end: nothing can be reserved. */
const RETRY_AFTER_FULL_S = 10;
/** The sending times of this many reports are kept, for the leases that answer them. */
const REPORTS_KEPT = 8;
/** A leader heard within this time, but without an admission message, has it switched off or is of an older version. */
const LEADER_FRESH_MS = 3500;
/** Peak demand decays by this factor with each heartbeat, as submissions come in bursts. */
const DEMAND_DECAY = 0.8;

/** Whether a submission is admitted. */
export type Decision =
  /** Admitted. `permitSpent` is false where no permit of this node was needed. */
  | { readonly kind: "take"; readonly permitSpent: boolean }
  /** Rejected for now: to be repeated after so many seconds. */
  | { readonly kind: "wait"; readonly retryAfterS: number };

/** What a node's decisions rest on at the moment. */
export type AdmissionMode =
  /** The permits that the leader issued. */
  | "slice"
  /** Each team's guaranteed minimum, as no permit lease is valid. */
  | "floor"
  /** Every submission is admitted, as the leader issues no permits. */
  | "open";

interface TeamCounts {
  /** Submissions since the last heartbeat. */
  submitted: number;
  /** Peak of submissions in a heartbeat lately. */
  peakDemand: number;
  admitted: number;
  refused: number;
  lastRetryAfterS: number;
}

/** What a leader is asked for when it issues permits. */
export interface LoadSource {
  /** Unfinished jobs by team. */
  openJobs(): ReadonlyMap<string, number>;
}

/**
 * Fair admission: which submissions this node accepts now. Every node spends only permits that it holds, and the leader
 * issues them by one policy for all. Repeated submissions of accepted jobs, cancellations, polls, agents' heartbeats and
 * lease renewals are not subject to it. No safety rule depends on it: a wrong count admits too many jobs or too few.
 */
export class Admission {
  readonly #ctx: Context;
  /** This node's incarnation. */
  readonly #incarnation: string;
  readonly #permits = new PermitPool();
  readonly #reservations = new RetryReservations();
  readonly #counts = new Map<string, TeamCounts>();
  /** When the last reports were sent, by sequence number. */
  readonly #reportSentAt = new Map<number, number>();
  #sequence = 0;
  /** Null while this node may not issue permits. */
  #issuer: PermitIssuer | null = null;
  /** The leases to send with the next heartbeats, by node. */
  #leases: ReadonlyMap<string, PermitLease> = new Map();
  /** When each peer was last heard, and whether its heartbeat had an admission message. */
  readonly #peers = new Map<string, { readonly heardAt: number; readonly hasAdmission: boolean }>();
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

  /** What decisions rest on at the moment. */
  get mode(): AdmissionMode {
    const { now, deployment } = this.#ctx;
    if (this.#permits.isValid(now)) return "slice";
    if (this.#leader === null || this.#leader === deployment.node) return "floor";
    const leader = this.#peers.get(this.#leader);
    const isOpen = leader !== undefined && now - leader.heardAt < LEADER_FRESH_MS && !leader.hasAdmission;
    return isOpen ? "open" : "floor";
  }

  /** Decides on a submission that this node does not know as accepted, and spends a permit if it is admitted. */
  decide(uid: string, team: string): Decision {
    const { now } = this.#ctx;
    const counts = this.#countsOf(team);
    counts.submitted++;
    const reservation = this.#reservations.redeem(uid, now);
    const unbound = this.#permits.available(team, now) - this.#reservations.boundPermits(team, now);
    if (reservation !== null || unbound >= 1 || this.mode === "open") {
      // The permit for another node's reservation is spent there; in open mode there may be none to spend.
      const permitSpent = reservation === "own" || (reservation === null && unbound >= 1);
      if (permitSpent) this.#permits.spend(team, now);
      counts.admitted++;
      return { kind: "take", permitSpent };
    }
    counts.refused++;
    counts.lastRetryAfterS = this.#reserve(uid, team);
    return { kind: "wait", retryAfterS: counts.lastRetryAfterS };
  }

  #reserve(uid: string, team: string): number {
    const ratePerS = this.#ratePerS(team);
    return ratePerS > 0 ? this.#reservations.reserve(uid, team, ratePerS, this.#ctx.now) : RETRY_AFTER_FULL_S;
  }

  /** The rate at which this node can make reservations; 0 where that depends on when other jobs end. */
  #ratePerS(team: string): number {
    if (this.#permits.isValid(this.#ctx.now)) return this.#permits.ratePerS(team);
    return this.#policy.teams.find(({ name }) => name === team)?.minimumRatePerS ?? 0;
  }

  /** Reverts a decision: the job was accepted before, or could not be written. */
  rollBack(team: string, permitSpent: boolean): void {
    if (permitSpent) this.#permits.refund(team, this.#ctx.now);
    this.#countsOf(team).admitted--;
  }

  /**
   * To be called before each heartbeat: makes this node's report and, while it leads, issues permits. `fencingToken`
   * is that of its term, or null if it may not issue permits.
   */
  tick(leader: string | null, fencingToken: number | null, load: LoadSource): void {
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
    } else this.#issue(fencingToken, policy, load);
  }

  #issue(fencingToken: number, policy: AdmissionPolicy, load: LoadSource): void {
    const { now, deployment } = this.#ctx;
    if (this.#issuer?.fencingToken !== fencingToken)
      this.#issuer = new PermitIssuer(fencingToken, policy, now);
    this.#issuer.onReport(deployment.node, this.#report, now);
    const nodeCount = deployment.peers.length + 1;
    this.#leases = this.#issuer.issue({ policy, openJobs: load.openJobs(), nodeCount, now });
    const own = this.#leases.get(deployment.node);
    if (own) this.#applyLease(own);
  }

  #maxHeld(team: string): number {
    const target = targetPermits(this.#countsOf(team).peakDemand);
    return target + this.#reservations.boundPermits(team, this.#ctx.now);
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
      redeemedReservations: this.#reservations.takeRedeemedOfPeers(),
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

  /** The admission message of the next heartbeat to a peer. */
  messageFor(peer: string): AdmissionMessage {
    return { report: this.#report, lease: this.#leases.get(peer) };
  }

  /** A heartbeat of a peer has come; `message` is its admission message, undefined if it has none. */
  onPeerHeartbeat(from: string, message: AdmissionMessage | undefined): void {
    const { now } = this.#ctx;
    this.#peers.set(from, { heardAt: now, hasAdmission: message !== undefined });
    if (!message) return;
    this.#issuer?.onReport(from, message.report, now);
    this.#reservations.addOfPeer(message.report.newReservations, now);
    for (const uid of message.report.redeemedReservations) {
      const team = this.#reservations.onRedeemedByPeer(uid);
      if (team !== null) this.#permits.spend(team, now);
    }
    if (message.lease) this.#applyLease(message.lease);
  }

  /** Applies a lease, unless the report that it answers is so old that its sending time was dropped. */
  #applyLease(lease: PermitLease): void {
    const reportedAt = this.#reportSentAt.get(lease.reportSequence);
    if (reportedAt !== undefined) this.#permits.apply(lease, reportedAt);
  }

  /** The admission part of the node's status. */
  status(): Record<string, unknown> {
    const { mode, ratePerS, maxOpenJobs, teams } = this.report();
    const rounded = Math.round(ratePerS * 100) / 100;
    return {
      mode,
      rate: rounded,
      open_jobs: maxOpenJobs,
      teams: teams.map(({ lastRetryAfterS, ...team }) => ({ ...team, last_wait_s: lastRetryAfterS })),
    };
  }

  /** The state of admission, for metrics and status. */
  report(): AdmissionStatus {
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

/** The state of admission at this node. */
export interface AdmissionStatus {
  readonly mode: AdmissionMode;
  /** Jobs accepted a second by all nodes together, at most. */
  readonly ratePerS: number;
  /** Unfinished jobs of all teams up to which new ones are accepted. */
  readonly maxOpenJobs: number;
  readonly teams: readonly TeamStatus[];
}

/** One team's part in an {@link AdmissionStatus}. */
export interface TeamStatus {
  readonly name: string;
  readonly weight: number;
  /** What could be accepted at this moment. */
  readonly available: number;
  /** Submissions accepted since the node started. */
  readonly admitted: number;
  /** Submissions rejected since the node started. */
  readonly refused: number;
  /** Retry reservations that stand. */
  readonly waiting: number;
  /** The last Retry-After that was sent, in seconds; 0 before the first. */
  readonly lastRetryAfterS: number;
}
