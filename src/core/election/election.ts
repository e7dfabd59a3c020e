import type { Context } from "../context.js";
import { int } from "../random.js";
import type { ConfigView } from "../store/config-watch.js";
import { KEYS, type LeaderRecord } from "../store/records.js";
import type { LeadershipEvents, LeadershipState, Term } from "./leader-lease.js";
import { AnswerWindow, DRIFT } from "./lease-renewal-policy.js";

const MARGIN_MS = 250;
const CALL_MS = 900;
const STAY_OUT_MS = 20_000;
/** Nodes stand one after the other within so long, by chance. */
const STAND_SPREAD_MS = 150;

/**
 * One leader under a grant of the state service. The token comes from the epoch key, which every
 * acquisition raises in the same transaction: tokens never repeat nor go back.
 */
export class Leadership {
  readonly #ctx: Context;
  readonly #view: ConfigView;
  readonly #events: LeadershipEvents;
  readonly #incarnation: string;
  readonly #window: AnswerWindow;
  state: LeadershipState = { kind: "follower" };
  #runAt = 0;
  #renewing = false;
  #renewedAt = 0;
  #raising = false;
  #raisedAt = 0;
  /** The highest token this node has seen anywhere. */
  highestSeen = 0;
  /** The last token of this process's own last term, and until when it, or any before it, may have answered workers. */
  #own: { readonly token: number; readonly until: number } | null = null;
  /** Peers that have shown a token of this term. */
  readonly #shown = new Set<string>();

  constructor(ctx: Context, view: ConfigView, incarnation: string, events: LeadershipEvents) {
    this.#ctx = ctx;
    this.#view = view;
    this.#incarnation = incarnation;
    this.#window = new AnswerWindow(ctx, events);
    this.#events = events;
  }

  get term(): Term | null {
    return this.state.kind === "leader" ? this.state.term : null;
  }

  get confirmed(): boolean {
    const term = this.term;
    return term !== null && this.#ctx.now < term.confirmedUntil;
  }

  /** How long an unconfirmed leader goes on answering reports. */
  get holdMs(): number {
    return this.#window.holdMs;
  }

  /** How long a follow of the job keys may wait. */
  get followMs(): number {
    return this.#window.followMs;
  }

  /** Every cancellation confirmed before this time is applied here. */
  get knownThrough(): number {
    return this.#window.knownThrough;
  }

  /** May reports be answered, and so leases renewed? Before the records are read, nothing is known of cancellations. */
  get mayAnswer(): boolean {
    const { term } = this;
    const { now } = this.#ctx;
    return (
      term !== null && now < term.confirmedUntil + this.#window.holdNowMs && now < this.#window.ignorantUntil
    );
  }

  /** A higher token seen anywhere ends this term. */
  sawToken(token: number): void {
    if (token > this.highestSeen) this.highestSeen = token;
    const term = this.term;
    if (term && token > term.token && !this.#raising) this.stepDown("a higher token was seen");
  }

  /**
   * A node that has seen this term's token answers no worker under an older one, nor will any later process of it: once
   * every peer has, there is no former leader's hold to be waited out. A cut-off peer is, for as long as it may hold.
   */
  peerShows(node: string, token: number): void {
    const { term } = this;
    if (!term || token < term.firstToken || this.#shown.has(node)) return;
    this.#shown.add(node);
    const { peers } = this.#ctx.deployment;
    if (peers.every((peer) => this.#shown.has(peer)))
      term.formerUntil = Math.min(term.formerUntil, this.#ctx.now);
  }

  /**
   * Until when a leader before this one may go on answering. The first ever had none. Where it was this very process, and
   * nobody between (the epoch counts every taking of office), it knows; else it reckons with the longest hold.
   */
  #formerUntil(token: number): number {
    if (token === 1) return this.#ctx.now;
    if (this.#own && token === this.#own.token + 1) return this.#own.until;
    const holdMs = this.#window.holdMs + this.#ctx.settings.leader_grant_ms;
    return this.#ctx.now + holdMs * DRIFT;
  }

  stepDown(why: string): void {
    if (this.state.kind !== "leader") return;
    const { term } = this.state;
    this.#own = { token: term.token, until: Math.max(term.formerUntil, this.#ctx.now) };
    this.state = { kind: "follower" };
    this.#runAt = this.#ctx.now + 500;
    this.#events.deposed(why);
  }

  /** Gives the office up for others to take, and stays out of the race for a while. */
  handOver(why: string): void {
    const { term } = this;
    if (!term) return;
    this.#ctx.state({ kind: "revokeLease", leaseId: term.grant }, CALL_MS, () => {});
    this.stepDown(why);
    this.#runAt = this.#ctx.now + STAY_OUT_MS;
  }

  configChanged(key: string): void {
    const term = this.term;
    if (key === KEYS.leader && term) {
      const held = this.#view.leader;
      if (held && held.version > term.version) this.stepDown("another leader is recorded");
      else if (held === null) this.stepDown("the leader key is gone");
    }
    if (key === KEYS.leader && !this.#view.leader) this.#events.vacant();
    // The key is gone: stand soon, but not all nodes in the same moment.
    if (key === KEYS.leader && !this.#view.leader && this.state.kind === "follower") {
      const deferMs = this.#events.deferMs() + int(this.#ctx.random, 0, STAND_SPREAD_MS);
      this.#runAt = Math.max(this.#runAt, this.#ctx.now + deferMs);
    }
  }

  tick(): void {
    const { state } = this;
    switch (state.kind) {
      case "follower":
        this.#maybeRun();
        break;
      case "candidate":
        break;
      case "leader":
        this.#lead(state.term);
        break;
    }
  }

  #maybeRun(): void {
    const { now } = this.#ctx;
    if (!this.#view.loaded || now < this.#runAt || this.#ctx.stateFailingSince !== null) return;
    const held = this.#view.leader;
    const own = held !== null && held.value.node === this.#ctx.deployment.node;
    if (held && !(own && held.value.incarnation !== this.#incarnation)) return;
    this.#runForLeader(held ? held.version : 0);
  }

  #runForLeader(leaderVersion: number): void {
    const ctx = this.#ctx;
    this.state = { kind: "candidate", since: ctx.now };
    const asked = ctx.now;
    const lifeMs = ctx.settings.leader_grant_ms;
    ctx.state({ kind: "grantLease", ttlMs: lifeMs }, CALL_MS, (granted) => {
      if (granted.kind !== "leaseGranted") {
        this.#lost("no grant");
        return;
      }
      const { leaseId: grant } = granted;
      const epoch = this.#view.epoch;
      const token = (epoch?.value ?? 0) + 1;
      const record: LeaderRecord = { node: ctx.deployment.node, incarnation: this.#incarnation, token };
      ctx.state(
        {
          kind: "transaction",
          conditions: [
            { key: KEYS.leader, version: leaderVersion },
            { key: KEYS.epoch, version: epoch?.version ?? 0 },
          ],
          changes: [
            { put: KEYS.leader, value: record, leaseId: grant },
            { put: KEYS.epoch, value: { token } },
          ],
        },
        CALL_MS,
        (answer) => {
          if (answer.kind !== "ok") {
            // Also after silence: it may be, or may yet be, executed. The grant is given back, which
            // takes the key with it; a late execution then fails for want of the grant.
            ctx.state({ kind: "revokeLease", leaseId: grant }, CALL_MS, () => {});
            this.#lost(answer.kind);
            return;
          }
          const version = answer.revision;
          const term: Term = {
            grant,
            token,
            firstToken: token,
            version,
            epochVersion: version,
            since: ctx.now,
            confirmedUntil: asked + lifeMs / DRIFT - MARGIN_MS,
            formerUntil: this.#formerUntil(token),
          };
          this.#shown.clear();
          this.state = { kind: "leader", term };
          this.#renewedAt = asked;
          this.#raisedAt = ctx.now;
          this.highestSeen = Math.max(this.highestSeen, token);
          this.#view.note({ key: KEYS.leader, value: record, version });
          this.#view.note({ key: KEYS.epoch, value: { token }, version });
          this.#events.elected(term);
        },
      );
    });
  }

  #lost(why: string): void {
    this.state = { kind: "follower" };
    this.#runAt = this.#ctx.now + int(this.#ctx.random, 200, 600);
    this.#ctx.log("debug", "did not become leader", { why });
    this.#view.refresh();
  }

  #lead(term: Term): void {
    const ctx = this.#ctx;
    if (ctx.now >= term.confirmedUntil + this.#window.holdNowMs) {
      this.stepDown("unconfirmed for too long");
      return;
    }
    if (this.#events.knownThrough() !== null && ctx.now >= this.#window.ignorantUntil) {
      const why = "cancellations can't be read";
      if (this.confirmed) this.handOver(why);
      else this.stepDown(why);
      return;
    }
    const lifeMs = ctx.settings.leader_grant_ms;
    if (!this.#renewing && ctx.now - this.#renewedAt >= lifeMs / 4) this.#renew(term, lifeMs);
    if (
      !this.#raising &&
      ctx.now < term.confirmedUntil &&
      ctx.now - this.#raisedAt >= ctx.settings.token_raise_s * 1000 &&
      // Starts under way would have to begin anew, so they are let through first, within reason.
      (!this.#events.startsUnderWay() || ctx.now - this.#raisedAt >= ctx.settings.token_raise_s * 2000)
    ) {
      this.raiseToken();
    }
  }

  #renew(term: Term, lifeMs: number): void {
    const ctx = this.#ctx;
    const asked = ctx.now;
    this.#renewing = true;
    this.#renewedAt = asked;
    ctx.state({ kind: "renewLease", leaseId: term.grant }, CALL_MS, (answer) => {
      this.#renewing = false;
      if (this.term !== term) return;
      if (answer.kind === "ok") term.confirmedUntil = asked + lifeMs / DRIFT - MARGIN_MS;
      else if (answer.kind === "notFound") this.stepDown("the grant is gone");
    });
  }

  /**
   * Raises the token within the term. What was sent under the former one can no longer be executed
   * by a worker that has seen the new one, which is what makes clearing ended attempts safe.
   */
  raiseToken(): void {
    const ctx = this.#ctx;
    const { term } = this;
    if (!term || this.#raising || !this.confirmed) return;
    this.#raising = true;
    this.#raisedAt = ctx.now;
    const token = term.token + 1;
    ctx.state(
      {
        kind: "transaction",
        conditions: [
          { key: KEYS.leader, version: term.version },
          { key: KEYS.epoch, version: term.epochVersion },
        ],
        changes: [{ put: KEYS.epoch, value: { token } }],
      },
      CALL_MS,
      (answer) => {
        if (this.term !== term) {
          this.#raising = false;
          return;
        }
        if (answer.kind === "ok") {
          this.#raising = false;
          this.#advance(term, token, answer.revision);
        } else if (answer.kind === "unavailable" || answer.kind === "throttled") {
          this.#raising = false;
        } else {
          this.#reread(term);
        }
      },
    );
  }

  #advance(term: Term, token: number, version: number): void {
    term.token = token;
    term.epochVersion = version;
    this.highestSeen = Math.max(this.highestSeen, token);
    this.#view.note({ key: KEYS.epoch, value: { token }, version });
  }

  /**
   * The raise may have been executed without our knowing, so the key is read before deciding. While the
   * leader key is ours nobody else can have raised it: a higher value under it is our own.
   */
  #reread(term: Term): void {
    const ctx = this.#ctx;
    ctx.state({ kind: "list", prefix: KEYS.config, after: null }, CALL_MS, (answer) => {
      this.#raising = false;
      if (this.term !== term || answer.kind !== "page") return;
      const leader = answer.entries.find((item) => item.key === KEYS.leader);
      const epoch = answer.entries.find((item) => item.key === KEYS.epoch);
      if (leader?.version !== term.version) {
        this.stepDown("another leader is recorded");
        return;
      }
      const token = (epoch?.value as { token?: unknown } | undefined)?.token;
      if (epoch && typeof token === "number" && token >= term.token) {
        this.#advance(term, token, epoch.version);
      }
    });
  }
}
