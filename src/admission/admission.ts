import type { Context } from "../core/context.js";
import type { AdmissionNote, AdmissionReport, AdmissionSlice } from "./messages.js";
import { SliceIssuer, targetOf } from "./permit-issuer.js";
import { Permits } from "./permits.js";
import { type AdmissionPolicy, policyOf, type TeamPolicy } from "./policy.js";
import { Promises } from "./retry-reservations.js";

/** Where there is room only when other jobs end, nothing can be promised: it is worth asking again after this. */
const ROOM_WAIT_S = 10;
/** The times of so many reports are kept, for slices that answer them. */
const REPORTS_KEPT = 8;
/** A leader that has been heard within this time without a word of admission is of a version, or a setting, without it. */
const LEADER_FRESH_MS = 3500;

export type Decision =
  | { readonly kind: "take"; readonly spent: boolean }
  /** Not now: come back after so many seconds. */
  | { readonly kind: "wait"; readonly afterS: number };

/** By what a node decides at the moment. */
export type AdmissionMode =
  /** The permits that the leader issued. */
  | "slice"
  /** Each team's floor: no slice has come for a while. */
  | "floor"
  /** Everything is taken, as the leader issues no slices. */
  | "open";

/** What was asked lately fades by this much with each heartbeat: submissions come in bursts. */
const FADE = 0.8;

interface TeamCounts {
  /** Since the last heartbeat. */
  asked: number;
  /** The most that was asked in a heartbeat lately. */
  level: number;
  admitted: number;
  refused: number;
  lastWaitS: number;
}

/** What a leader is asked for when it issues slices. */
export interface Load {
  /** Unfinished jobs of each team. */
  openJobs(): ReadonlyMap<string, number>;
}

/**
 * Which submissions this node accepts now. Every node spends only permits that it holds; the leader issues them, by one
 * policy for all. Repeats of accepted jobs, cancellations, questions, reports and renewals are no part of this.
 */
export class Admission {
  readonly #ctx: Context;
  readonly #process: string;
  readonly #permits = new Permits();
  readonly #promises = new Promises();
  readonly #counts = new Map<string, TeamCounts>();
  readonly #sentAt = new Map<number, number>();
  #sequence = 0;
  #issuer: SliceIssuer | null = null;
  #slices: ReadonlyMap<string, AdmissionSlice> = new Map();
  /** When each peer was last heard, and whether it spoke of admission. */
  readonly #peers = new Map<string, { readonly at: number; readonly takesPart: boolean }>();
  #leader: string | null = null;
  #report: AdmissionReport;

  constructor(ctx: Context, process: string) {
    this.#ctx = ctx;
    this.#process = process;
    this.#permits.tick(this.#policy, ctx.now);
    this.#report = this.#makeReport();
  }

  get #policy(): AdmissionPolicy {
    return policyOf(this.#ctx.settings, this.#ctx.deployment);
  }

  get mode(): AdmissionMode {
    const { now, deployment } = this.#ctx;
    if (this.#permits.isValid(now)) return "slice";
    if (this.#leader === null || this.#leader === deployment.node) return "floor";
    const peer = this.#peers.get(this.#leader);
    const isOpen = peer !== undefined && now - peer.at < LEADER_FRESH_MS && !peer.takesPart;
    return isOpen ? "open" : "floor";
  }

  /** Decides about a submission that this node does not know as accepted, and spends a permit if it is taken. */
  decide(uid: string, team: string): Decision {
    const { now } = this.#ctx;
    const counts = this.#countsOf(team);
    counts.asked++;
    const promised = this.#promises.keep(uid, now);
    const free = this.#permits.available(team, now) - this.#promises.bound(team, now);
    if (promised !== null || free >= 1 || this.mode === "open") {
      // A promise of another node's is paid for there; where everything is taken nothing is.
      const spent = promised === "own" || (promised === null && free >= 1);
      if (spent) this.#permits.spend(team, now);
      counts.admitted++;
      return { kind: "take", spent };
    }
    counts.refused++;
    const ratePerS = this.#rateOf(team);
    counts.lastWaitS = ratePerS > 0 ? this.#promises.waitS(uid, team, ratePerS, now) : ROOM_WAIT_S;
    return { kind: "wait", afterS: counts.lastWaitS };
  }

  /** What was taken was known already, or could not be written: the permit, if one was spent, is given back. */
  notAccepted(team: string, spent: boolean): void {
    if (spent) this.#permits.unspend(team, this.#ctx.now);
    this.#countsOf(team).admitted--;
  }

  /** The rate at which this node can promise places; 0 where that depends on when other jobs end. */
  #rateOf(team: string): number {
    if (this.#permits.isValid(this.#ctx.now)) return this.#permits.ratePerS(team);
    return this.#policy.teams.find(({ name }) => name === team)?.floorRate ?? 0;
  }

  /** Once before each heartbeat: what came in since is reported, and a leader issues slices. */
  tick(leader: string | null, token: number | null, load: Load): void {
    const { now, deployment } = this.#ctx;
    this.#leader = leader;
    const policy = this.#policy;
    this.#permits.tick(policy, now);
    this.#promises.sweep(now);
    for (const counts of this.#counts.values()) {
      counts.level = Math.max(counts.asked, Math.floor(counts.level * FADE));
      counts.asked = 0;
    }
    for (const { name } of policy.teams) this.#permits.giveBack(name, this.#mostHeld(name));
    this.#report = this.#makeReport();
    if (token === null) {
      this.#issuer = null;
      this.#slices = new Map();
      return;
    }
    if (this.#issuer?.token !== token) this.#issuer = new SliceIssuer(token, policy, now);
    this.#issuer.heard(deployment.node, this.#report, now);
    this.#slices = this.#issuer.issue(policy, load.openJobs(), deployment.peers.length + 1, now);
    const own = this.#slices.get(deployment.node);
    if (own) this.#take(own);
  }

  #mostHeld(team: string): number {
    return targetOf(this.#countsOf(team).level) + this.#promises.bound(team, this.#ctx.now);
  }

  #makeReport(): AdmissionReport {
    const { now } = this.#ctx;
    this.#sequence++;
    this.#sentAt.set(this.#sequence, now);
    this.#sentAt.delete(this.#sequence - REPORTS_KEPT);
    const teams = this.#policy.teams.map(({ name: team }) => ({
      team,
      asked: this.#countsOf(team).level,
      held: this.#permits.held(team),
      promised: this.#promises.waiting(team),
      spent: this.#permits.spent(team),
    }));
    const { slice, token: sliceToken } = this.#permits;
    return {
      process: this.#process,
      sequence: this.#sequence,
      slice,
      sliceToken,
      teams,
      promises: this.#promises.takeUntold(now),
      kept: this.#promises.takeKept(),
    };
  }

  /** What a heartbeat to this peer carries. */
  noteFor(peer: string): AdmissionNote {
    return { report: this.#report, slice: this.#slices.get(peer) };
  }

  /** A heartbeat has come, with or without a word of admission. */
  heard(from: string, note: AdmissionNote | undefined): void {
    const { now } = this.#ctx;
    this.#peers.set(from, { at: now, takesPart: note !== undefined });
    if (!note) return;
    this.#issuer?.heard(from, note.report, now);
    this.#promises.heard(note.report.promises, now);
    for (const uid of note.report.kept) {
      const team = this.#promises.keptElsewhere(uid);
      if (team !== null) this.#permits.spend(team, now);
    }
    if (note.slice) this.#take(note.slice);
  }

  #take(slice: AdmissionSlice): void {
    const askedAt = this.#sentAt.get(slice.answers);
    if (askedAt !== undefined) this.#permits.take(slice, askedAt);
  }

  /** For the status. */
  status(): Record<string, unknown> {
    const { mode, rate, openJobs, teams } = this.report();
    const rounded = Math.round(rate * 100) / 100;
    return {
      mode,
      rate: rounded,
      open_jobs: openJobs,
      teams: teams.map(({ lastWaitS, ...team }) => ({ ...team, last_wait_s: lastWaitS })),
    };
  }

  /** For the metrics. */
  report(): AdmissionStatus {
    const { now } = this.#ctx;
    const policy = this.#policy;
    return {
      mode: this.mode,
      rate: policy.rate,
      openJobs: policy.openJobs,
      teams: policy.teams.map((team) => this.#teamStatus(team, now)),
    };
  }

  #teamStatus({ name, weight }: TeamPolicy, now: number): TeamStatus {
    const { admitted, refused, lastWaitS } = this.#countsOf(name);
    const available = this.#permits.available(name, now);
    return { name, weight, available, admitted, refused, waiting: this.#promises.waiting(name), lastWaitS };
  }

  #countsOf(team: string): TeamCounts {
    let counts = this.#counts.get(team);
    if (!counts) {
      counts = { asked: 0, level: 0, admitted: 0, refused: 0, lastWaitS: 0 };
      this.#counts.set(team, counts);
    }
    return counts;
  }
}

export interface AdmissionStatus {
  readonly mode: AdmissionMode;
  readonly rate: number;
  readonly openJobs: number;
  readonly teams: readonly TeamStatus[];
}

export interface TeamStatus {
  readonly name: string;
  readonly weight: number;
  /** What could be accepted at this moment. */
  readonly available: number;
  readonly admitted: number;
  readonly refused: number;
  /** Submissions that were told to come back. */
  readonly waiting: number;
  /** What the last one that was refused was told, in seconds. */
  readonly lastWaitS: number;
}
