import type { AdmissionReport, TeamReport } from "./messages.js";

/** A node is issued permits only while its last report is no older than this. */
const MAX_REPORT_AGE_MS = 3000;
/** A node with this many unacknowledged leases is issued no further ones, because they probably do not reach it. */
const MAX_UNACKNOWLEDGED = 3;

interface IssuedLease {
  readonly id: number;
  readonly expiresAt: number;
  readonly permits: ReadonlyMap<string, number>;
}

/** The leader's view of the permits that one node holds. Where it is uncertain, it overestimates them. */
export class PermitHolder {
  /** The node's last report. */
  report: AdmissionReport;
  #reportedAt: number;
  #unacknowledged: IssuedLease[] = [];
  /** When all permits issued to the node by any leader have expired, by the leader's clock and by the node's. */
  #expiresAt: number;

  /** `expiresAt` is when permits that the node may hold from an earlier leader have expired. */
  constructor(report: AdmissionReport, now: number, expiresAt: number) {
    this.report = report;
    this.#reportedAt = now;
    this.#expiresAt = expiresAt;
  }

  /** Applies a later report of the same incarnation. Returns the number of permits spent since the previous report. */
  onReport(report: AdmissionReport, fencingToken: number, now: number): number {
    if (report.sequence <= this.report.sequence) return 0;
    let spent = 0;
    for (const { team, spent: total } of report.teams)
      spent += Math.max(0, total - (teamReport(this.report, team)?.spent ?? 0));
    if (report.acknowledgedToken === fencingToken)
      this.#unacknowledged = this.#unacknowledged.filter(({ id }) => id > report.acknowledgedLease);
    this.report = report;
    this.#reportedAt = now;
    return spent;
  }

  /** True if the node may be issued permits: it reports and acknowledges its leases. */
  isEligible(now: number): boolean {
    return now - this.#reportedAt <= MAX_REPORT_AGE_MS && this.#unacknowledged.length < MAX_UNACKNOWLEDGED;
  }

  /** Records a lease that is being sent to the node. `permits` is by team. */
  issue(id: number, permits: ReadonlyMap<string, number>, expiresAt: number): void {
    this.#unacknowledged.push({ id, expiresAt, permits });
    this.#expiresAt = expiresAt;
  }

  /** Drops expired unacknowledged leases. Must be called before permits are counted. */
  removeExpired(now: number): void {
    this.#unacknowledged = this.#unacknowledged.filter(({ expiresAt }) => now < expiresAt);
  }

  /** Returns the permits of a team that the node holds or that are in unacknowledged leases. */
  outstanding(team: string, now: number): number {
    if (now >= this.#expiresAt) return 0;
    let sum = Math.max(0, teamReport(this.report, team)?.held ?? 0);
    for (const { permits } of this.#unacknowledged) sum += permits.get(team) ?? 0;
    return sum;
  }

  /** Returns the number of the node's retry reservations for a team. The node honors them even without permits. */
  reserved(team: string, now: number): number {
    return now >= this.#expiresAt ? 0 : (teamReport(this.report, team)?.reserved ?? 0);
  }

  /** Returns the decaying maximum of a team's submissions at the node between two reports. */
  demand(team: string): number {
    return teamReport(this.report, team)?.peakDemand ?? 0;
  }
}

function teamReport(report: AdmissionReport, team: string): TeamReport | undefined {
  return report.teams.find((entry) => entry.team === team);
}
