import type { AdmissionReport, AdmissionSlice } from "./messages.js";
import { Holder } from "./permit-holder.js";
import type { AdmissionPolicy, TeamPolicy } from "./policy.js";
import { LONGEST_PROMISE_S } from "./retry-reservations.js";
import { allocate } from "./shares.js";

/** How long a node may spend what it holds, from the sending of the report that the slice answers. */
export const SLICE_LIFE_MS = 4000;
/** Clocks drift apart by up to 0.05%, and the leader errs late: what it takes for expired must be so at the node. */
const DRIFT = 1.001;
const MARGIN_MS = 10;
/** What a node is to hold of each team without having been asked, so that a first submission need not wait. */
const RESERVE = 2;
/** What it is to hold beyond that, as a multiple of what was asked of it in the second before. */
const AHEAD = 2;
/** Rates are shared in parts of a permit: a team whose part of a second is less than one has one every few seconds. */
const FINE = 100;
/** More than any team asks for: shares of what is left to be promised. */
const PLENTY = 1e9;

/** What a node is to hold at most, given what was asked of it lately; it gives back what is beyond. */
export function targetOf(asked: number): number {
  return RESERVE + AHEAD * asked;
}

/** What the leader gives a team in one round. */
interface TeamShare {
  readonly name: string;
  /** How many more permits each node is to hold, in the order of the nodes. */
  readonly wants: readonly number[];
  readonly asked: readonly number[];
  /** Unfinished jobs, and permits and promises that may yet become some. */
  readonly used: number;
  readonly outstanding: number;
  readonly weight: number;
}

/**
 * The leader's side: how many jobs of each team each node may accept. Permits are in escrow: what a node holds, or may
 * hold, is nobody else's until the node has reported it spent or given back, or until it has expired by the leader's
 * clock, which is later than by the node's. So two nodes never spend the same room.
 */
export class SliceIssuer {
  readonly token: number;
  readonly #holders = new Map<string, Holder>();
  /** Permits that may be spent or issued at this moment, those in escrow among them. */
  #tokens: number;
  #refilledAt: number;
  /** Parts of a permit that each team has saved up. */
  readonly #credit = new Map<string, number>();
  #nextId = 1;
  #turn = 0;

  /** What an earlier leader issued may still be spent: this one begins with a second's worth. */
  constructor(token: number, policy: AdmissionPolicy, now: number) {
    this.token = token;
    this.#tokens = policy.rate;
    this.#refilledAt = now;
  }

  /** Takes over a node's report; what it has spent since the one before is gone. */
  heard(node: string, report: AdmissionReport, now: number): void {
    const known = this.#holders.get(node);
    if (known?.report.process === report.process) this.#tokens -= known.heard(report, this.token, now);
    // A process that has ended spends nothing more, and what it had accepted is on record.
    else this.#holders.set(node, new Holder(report, now, now + SLICE_LIFE_MS));
  }

  /**
   * Slices for all nodes that report: up to what each is to hold, as far as the teams' shares of rate and of unfinished
   * jobs go. `openJobs` are the unfinished jobs of each team, of teams that are no longer in the settings, too.
   */
  issue(
    policy: AdmissionPolicy,
    openJobs: ReadonlyMap<string, number>,
    nodeCount: number,
    now: number,
  ): Map<string, AdmissionSlice> {
    for (const holder of this.#holders.values()) holder.sweep(now);
    const nodes = [...this.#holders].filter(([, holder]) => holder.canBeIssued(now));
    // What a node that is not heard may accept by itself is set aside.
    const rate = policy.rate * Math.min(1, nodes.length / nodeCount);
    this.#refill(rate, policy.burst, now);
    const holders = nodes.map(([, holder]) => holder);
    const teams = policy.teams.map((team) => this.#teamShare(team, holders, openJobs, now));
    const room = shareLeft(teams, roomOf(policy, openJobs));
    const permits = this.#permits(teams, room);
    const rates = ratesOf(rate, teams);
    const left = shareLeft(teams, roomOf(policy, openJobs), PLENTY);
    // Equals are served in the order in which they come: another node is the first each time.
    this.#turn++;
    const counts = teams.map((team, t) => divide(permits[t] ?? 0, team.wants, this.#turn));
    const slices = new Map<string, AdmissionSlice>();
    for (const [n, [node, holder]] of nodes.entries()) {
      const entries = teams.map(({ name, asked }, t) => {
        const part = expected(asked[n] ?? 0) / sum(asked.map(expected));
        const roomLeft = Math.floor(((left[t] ?? 0) - (permits[t] ?? 0)) * part);
        const ratePerS = Math.min((rates[t] ?? 0) * part, roomLeft / LONGEST_PROMISE_S);
        return { team: name, count: counts[t]?.[n] ?? 0, ratePerS };
      });
      slices.set(node, this.#slice(holder, entries, now));
    }
    return slices;
  }

  #refill(rate: number, burst: number, now: number): void {
    const earned = ((now - this.#refilledAt) * rate) / 1000;
    this.#tokens = Math.min(burst, this.#tokens + earned);
    this.#refilledAt = now;
  }

  #teamShare(
    { name, weight }: TeamPolicy,
    holders: readonly Holder[],
    openJobs: ReadonlyMap<string, number>,
    now: number,
  ): TeamShare {
    const asked = holders.map((holder) => holder.asked(name));
    const wants = holders.map((holder, n) =>
      Math.max(0, targetOf(asked[n] ?? 0) - holder.outstanding(name, now)),
    );
    const outstanding = sum([...this.#holders.values()].map((holder) => holder.outstanding(name, now)));
    const promised = sum([...this.#holders.values()].map((holder) => holder.promised(name, now)));
    const used = (openJobs.get(name) ?? 0) + outstanding + promised;
    return { name, wants, asked, used, outstanding, weight };
  }

  /** How many permits each team is given in all: whole ones; the parts that it has beyond are saved up. */
  #permits(teams: readonly TeamShare[], room: readonly number[]): number[] {
    const escrow = sum(teams.map(({ outstanding }) => outstanding));
    const credit = sum([...this.#credit.values()]);
    const free = Math.max(0, this.#tokens - escrow - credit);
    // What a team holds already does not count against it: it must be able to hold some at every node.
    const claims = teams.map(({ weight, wants }, t) => {
      return { weight, demand: Math.min(sum(wants), room[t] ?? 0) * FINE };
    });
    return allocate(free * FINE, claims).map((parts, t) => {
      const { name, wants } = teams[t] ?? { name: "", wants: [] };
      const saved = (this.#credit.get(name) ?? 0) + parts / FINE;
      const count = Math.min(Math.floor(saved), sum(wants), room[t] ?? 0);
      this.#credit.set(name, sum(wants) > 0 ? Math.min(1, saved - count) : 0);
      return count;
    });
  }

  #slice(holder: Holder, permits: AdmissionSlice["permits"], now: number): AdmissionSlice {
    const id = this.#nextId++;
    const expiresAt = now + SLICE_LIFE_MS * DRIFT + MARGIN_MS;
    holder.issue(id, new Map(permits.map(({ team, count }) => [team, count])), expiresAt);
    const { sequence } = holder.report;
    return { token: this.token, id, answers: sequence, lifeMs: SLICE_LIFE_MS, permits };
  }
}

/** What each team may have beyond what it uses, by its share of a capacity, as far as it wants more, or so much beyond. */
function shareLeft(teams: readonly TeamShare[], capacity: number, beyond = 0): number[] {
  const claims = teams.map((team) => ({
    weight: team.weight,
    demand: team.used + sum(team.wants) + beyond,
  }));
  return allocate(capacity, claims).map((share, t) => {
    const team = teams[t];
    return team ? Math.max(0, share - team.used) : 0;
  });
}

/** Who has asked for nothing may still begin to. */
function expected(asked: number): number {
  return Math.max(1, asked);
}

/** The rate that each team can expect, by what it asks for. */
function ratesOf(rate: number, teams: readonly TeamShare[]): number[] {
  const claims = teams.map(({ weight, asked }) => ({ weight, demand: sum(asked.map(expected)) * FINE }));
  return allocate(rate * FINE, claims).map((parts) => parts / FINE);
}

/** Divides a team's permits among the nodes by what they want; `turn` says which of equals comes first. */
function divide(permits: number, wants: readonly number[], turn: number): number[] {
  const order = wants.map((_, n) => (n + turn) % wants.length);
  const given = allocate(
    permits,
    order.map((n) => ({ weight: 1, demand: wants[n] ?? 0 })),
  );
  const counts = wants.map(() => 0);
  for (const [k, n] of order.entries()) counts[n] = given[k] ?? 0;
  return counts;
}

/** The unfinished jobs that there may be, but for those of teams that are no longer in the settings. */
function roomOf({ openJobs: most, teams }: AdmissionPolicy, openJobs: ReadonlyMap<string, number>): number {
  let room = most;
  for (const [team, count] of openJobs) if (!teams.some(({ name }) => name === team)) room -= count;
  return Math.max(0, room);
}

function sum(list: readonly number[]): number {
  return list.reduce((total, n) => total + n, 0);
}
