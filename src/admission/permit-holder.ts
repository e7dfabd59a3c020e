import type { AdmissionReport, TeamReport } from "./messages.js";

/** A node is issued permits only while its last report is at most this old. */
const MAX_REPORT_AGE_MS = 3000;
/** Beyond this many unacknowledged leases a node is issued none, as they hardly reach it. */
const MAX_UNACKNOWLEDGED = 3;

interface IssuedLease {
  readonly id: number;
  readonly expiresAt: number;
  readonly permits: ReadonlyMap<string, number>;
}

/** The leader's account of one node's permits, which errs towards more than the node holds. */
export class PermitHolder {
  /** The node's last report. */
  report: AdmissionReport;
  #reportedAt: number;
  #unacknowledged: IssuedLease[] = [];
  /** When the last permit that was issued to the node, by any leader, has expired by every clock. */
  #expiresAt: number;

  /** `expiresAt`: when what the node holds of an earlier leader's permits has expired. */
  constructor(report: AdmissionReport, now: number, expiresAt: number) {
    this.report = report;
    this.#reportedAt = now;
    this.#expiresAt = expiresAt;
  }

  /** Applies a later report of the same incarnation. Returns how many permits it has spent since the one before. */
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

  /** Whether the node reports, and acknowledges what it is issued. */
  canBeIssued(now: number): boolean {
    return now - this.#reportedAt <= MAX_REPORT_AGE_MS && this.#unacknowledged.length < MAX_UNACKNOWLEDGED;
  }

  /** Records a lease that is being sent to the node; `permits` are by team. */
  issue(id: number, permits: ReadonlyMap<string, number>, expiresAt: number): void {
    this.#unacknowledged.push({ id, expiresAt, permits });
    this.#expiresAt = expiresAt;
  }

  /** Drops unacknowledged leases that have expired; to be called before anything is counted. */
  removeExpired(now: number): void {
    this.#unacknowledged = this.#unacknowledged.filter(({ expiresAt }) => now < expiresAt);
  }

  /** Permits of a team that the node holds, or may hold as they are on their way. */
  outstanding(team: string, now: number): number {
    if (now >= this.#expiresAt) return 0;
    let sum = Math.max(0, teamReport(this.report, team)?.held ?? 0);
    for (const { permits } of this.#unacknowledged) sum += permits.get(team) ?? 0;
    return sum;
  }

  /** The node's retry reservations of a team; it honours them whether it holds permits or not. */
  reserved(team: string, now: number): number {
    return now >= this.#expiresAt ? 0 : (teamReport(this.report, team)?.reserved ?? 0);
  }

  /** Submissions of a team that lately asked the node for admission between two reports. */
  demand(team: string): number {
    return teamReport(this.report, team)?.peakDemand ?? 0;
  }
}

function teamReport(report: AdmissionReport, team: string): TeamReport | undefined {
  return report.teams.find((entry) => entry.team === team);
}
