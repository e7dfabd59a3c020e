import type { AdmissionReport } from "./messages.js";

/** A node is issued slices only while its reports are at most this old. */
const FRESH_MS = 3000;
/** Slices that a node has not acknowledged: beyond this many it is issued none, as they hardly reach it. */
const MOST_UNACKNOWLEDGED = 3;

interface Issued {
  readonly id: number;
  readonly expiresAt: number;
  readonly permits: ReadonlyMap<string, number>;
}

/** What the leader knows of one node's permits. */
export class Holder {
  report: AdmissionReport;
  #heardAt: number;
  /** Not acknowledged yet. */
  #issued: Issued[] = [];
  /** When the last permit that was ever issued to it is void. */
  #expiresAt: number;

  /** `expiresAt`: when what it holds of an earlier leader is void. */
  constructor(report: AdmissionReport, now: number, expiresAt: number) {
    this.report = report;
    this.#heardAt = now;
    this.#expiresAt = expiresAt;
  }

  /** Takes over a later report of the same process; returns what it has spent since the one before. */
  heard(report: AdmissionReport, token: number, now: number): number {
    if (report.sequence <= this.report.sequence) return 0;
    let spent = 0;
    for (const { team, spent: total } of report.teams)
      spent += Math.max(0, total - spentOf(this.report, team));
    if (report.sliceToken === token) this.#issued = this.#issued.filter(({ id }) => id > report.slice);
    this.report = report;
    this.#heardAt = now;
    return spent;
  }

  canBeIssued(now: number): boolean {
    return now - this.#heardAt <= FRESH_MS && this.#issued.length < MOST_UNACKNOWLEDGED;
  }

  issue(id: number, permits: ReadonlyMap<string, number>, expiresAt: number): void {
    this.#issued.push({ id, expiresAt, permits });
    this.#expiresAt = expiresAt;
  }

  /** Drops what a node that acknowledges nothing can no longer use; to be called before anything is counted. */
  sweep(now: number): void {
    this.#issued = this.#issued.filter(({ expiresAt }) => now < expiresAt);
  }

  /** Permits of a team that the node holds or may hold. */
  outstanding(team: string, now: number): number {
    if (now >= this.#expiresAt) return 0;
    let sum = Math.max(0, entryOf(this.report, team)?.held ?? 0);
    for (const { permits } of this.#issued) sum += permits.get(team) ?? 0;
    return sum;
  }

  /** Submissions of a team that were told when to come back; they come, or are given up, whether it holds permits or not. */
  promised(team: string, now: number): number {
    return now >= this.#expiresAt ? 0 : (entryOf(this.report, team)?.promised ?? 0);
  }

  asked(team: string): number {
    return entryOf(this.report, team)?.asked ?? 0;
  }
}

function entryOf(report: AdmissionReport, team: string) {
  return report.teams.find((entry) => entry.team === team);
}

function spentOf(report: AdmissionReport, team: string): number {
  return entryOf(report, team)?.spent ?? 0;
}
