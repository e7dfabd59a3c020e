import type { Context } from "../context.js";
import { randomInt } from "../random.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { KEYS, type LeaderRecord } from "../store/records.js";
import type { ElectionEvents, ElectionState, LeaderLease } from "./leader-lease.js";
import { CLOCK_DRIFT_FACTOR, LeaseRenewalPolicy } from "./lease-renewal-policy.js";

const MARGIN_MS = 250;
const CALL_MS = 900;
const STAY_OUT_MS = 20_000;
/** Nodes stand one after the other within so long, by chance. */
const STAND_SPREAD_MS = 150;

/**
 * One leader under a grant of the state service. The token comes from the epoch key, which every
 * acquisition raises in the same transaction: tokens never repeat nor go back.
 */
export class Election {
  readonly #ctx: Context;
  readonly #view: ConfigWatch;
  readonly #events: ElectionEvents;
  readonly #incarnation: string;
  readonly #window: LeaseRenewalPolicy;
  state: ElectionState = { kind: "follower" };
  #runAt = 0;
  #renewing = false;
  #renewedAt = 0;
  #raising = false;
  #raisedAt = 0;
  /** The highest token this node has seen anywhere. */
  highestTokenSeen = 0;
  /** The last token of this process's own last term, and until when it, or any before it, may have answered workers. */
  #own: { readonly token: number; readonly until: number } | null = null;
  /** Peers that have shown a token of this term. */
  readonly #shown = new Set<string>();

  constructor(ctx: Context, view: ConfigWatch, incarnation: string, events: ElectionEvents) {
    this.#ctx = ctx;
    this.#view = view;
    this.#incarnation = incarnation;
    this.#window = new LeaseRenewalPolicy(ctx, events);
    this.#events = events;
  }

  get lease(): LeaderLease | null {
    return this.state.kind === "leader" ? this.state.term : null;
  }

  get hasValidLease(): boolean {
    const term = this.lease;
    return term !== null && this.#ctx.now < term.validUntil;
  }

  /** How long an unconfirmed leader goes on answering reports. */
  get gracePeriodMs(): number {
    return this.#window.gracePeriodMs;
  }

  /** How long a follow of the job keys may wait. */
  get watchWaitMs(): number {
    return this.#window.watchWaitMs;
  }

  /** Every cancellation confirmed before this time is applied here. */
  get cancellationsKnownThrough(): number {
    return this.#window.cancellationsKnownThrough;
  }

  /** May reports be answered, and so leases renewed? Before the records are read, nothing is known of cancellations. */
  get mayReplyToAgents(): boolean {
    const { lease: term } = this;
    const { now } = this.#ctx;
    return (
      term !== null &&
      now < term.validUntil + this.#window.currentGracePeriodMs &&
      now < this.#window.knowledgeValidUntil
    );
  }

  /** A higher token seen anywhere ends this term. */
  observeToken(token: number): void {
    if (token > this.highestTokenSeen) this.highestTokenSeen = token;
    const term = this.lease;
    if (term && token > term.fencingToken && !this.#raising) this.stepDown("a higher token was seen");
  }

  /**
   * A node that has seen this term's token answers no worker under an older one, nor will any later process of it: once
   * every peer has, there is no former leader's hold to be waited out. A cut-off peer is, for as long as it may hold.
   */
  observePeerToken(node: string, token: number): void {
    const { lease: term } = this;
    if (!term || token < term.firstFencingToken || this.#shown.has(node)) return;
    this.#shown.add(node);
    const { peers } = this.#ctx.deployment;
    if (peers.every((peer) => this.#shown.has(peer)))
      term.previousLeaderUntil = Math.min(term.previousLeaderUntil, this.#ctx.now);
  }

  /**
   * Until when a leader before this one may go on answering. The first ever had none. Where it was this very process, and
   * nobody between (the epoch counts every taking of office), it knows; else it reckons with the longest hold.
   */
  #formerUntil(token: number): number {
    if (token === 1) return this.#ctx.now;
    if (this.#own && token === this.#own.token + 1) return this.#own.until;
    const holdMs = this.#window.gracePeriodMs + this.#ctx.settings.leader_grant_ms;
    return this.#ctx.now + holdMs * CLOCK_DRIFT_FACTOR;
  }

  stepDown(why: string): void {
    if (this.state.kind !== "leader") return;
    const { term } = this.state;
    this.#own = { token: term.fencingToken, until: Math.max(term.previousLeaderUntil, this.#ctx.now) };
    this.state = { kind: "follower" };
    this.#runAt = this.#ctx.now + 500;
    this.#events.onSteppedDown(why);
  }

  /** Gives the office up for others to take, and stays out of the race for a while. */
  resign(why: string): void {
    const { lease: term } = this;
    if (!term) return;
    this.#ctx.callStore({ kind: "revokeLease", leaseId: term.leaseId }, CALL_MS, () => {});
    this.stepDown(why);
    this.#runAt = this.#ctx.now + STAY_OUT_MS;
  }

  onConfigChanged(key: string): void {
    const term = this.lease;
    if (key === KEYS.leader && term) {
      const held = this.#view.leader;
      if (held && held.version > term.leaderKeyVersion) this.stepDown("another leader is recorded");
      else if (held === null) this.stepDown("the leader key is gone");
    }
    if (key === KEYS.leader && !this.#view.leader) this.#events.onLeaderKeyRemoved();
    // The key is gone: stand soon, but not all nodes in the same moment.
    if (key === KEYS.leader && !this.#view.leader && this.state.kind === "follower") {
      const deferMs = this.#events.campaignDelayMs() + randomInt(this.#ctx.random, 0, STAND_SPREAD_MS);
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
    if (!this.#view.isLoaded || now < this.#runAt || this.#ctx.storeFailingSince !== null) return;
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
    ctx.callStore({ kind: "grantLease", ttlMs: lifeMs }, CALL_MS, (granted) => {
      if (granted.kind !== "leaseGranted") {
        this.#lost("no grant");
        return;
      }
      const { leaseId: grant } = granted;
      const epoch = this.#view.epoch;
      const token = (epoch?.value ?? 0) + 1;
      const record: LeaderRecord = { node: ctx.deployment.node, incarnation: this.#incarnation, token };
      ctx.callStore(
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
            ctx.callStore({ kind: "revokeLease", leaseId: grant }, CALL_MS, () => {});
            this.#lost(answer.kind);
            return;
          }
          const version = answer.revision;
          const term: LeaderLease = {
            leaseId: grant,
            fencingToken: token,
            firstFencingToken: token,
            leaderKeyVersion: version,
            epochKeyVersion: version,
            electedAt: ctx.now,
            validUntil: asked + lifeMs / CLOCK_DRIFT_FACTOR - MARGIN_MS,
            previousLeaderUntil: this.#formerUntil(token),
          };
          this.#shown.clear();
          this.state = { kind: "leader", term };
          this.#renewedAt = asked;
          this.#raisedAt = ctx.now;
          this.highestTokenSeen = Math.max(this.highestTokenSeen, token);
          this.#view.apply({ key: KEYS.leader, value: record, version });
          this.#view.apply({ key: KEYS.epoch, value: { token }, version });
          this.#events.onElected(term);
        },
      );
    });
  }

  #lost(why: string): void {
    this.state = { kind: "follower" };
    this.#runAt = this.#ctx.now + randomInt(this.#ctx.random, 200, 600);
    this.#ctx.log("debug", "did not become leader", { why });
    this.#view.reread();
  }

  #lead(term: LeaderLease): void {
    const ctx = this.#ctx;
    if (ctx.now >= term.validUntil + this.#window.currentGracePeriodMs) {
      this.stepDown("unconfirmed for too long");
      return;
    }
    if (this.#events.cancellationsKnownThrough() !== null && ctx.now >= this.#window.knowledgeValidUntil) {
      const why = "cancellations can't be read";
      if (this.hasValidLease) this.resign(why);
      else this.stepDown(why);
      return;
    }
    const lifeMs = ctx.settings.leader_grant_ms;
    if (!this.#renewing && ctx.now - this.#renewedAt >= lifeMs / 4) this.#renew(term, lifeMs);
    if (
      !this.#raising &&
      ctx.now < term.validUntil &&
      ctx.now - this.#raisedAt >= ctx.settings.token_raise_s * 1000 &&
      // Starts under way would have to begin anew, so they are let through first, within reason.
      (!this.#events.hasStartsInFlight() || ctx.now - this.#raisedAt >= ctx.settings.token_raise_s * 2000)
    ) {
      this.advanceFencingToken();
    }
  }

  #renew(term: LeaderLease, lifeMs: number): void {
    const ctx = this.#ctx;
    const asked = ctx.now;
    this.#renewing = true;
    this.#renewedAt = asked;
    ctx.callStore({ kind: "renewLease", leaseId: term.leaseId }, CALL_MS, (answer) => {
      this.#renewing = false;
      if (this.lease !== term) return;
      if (answer.kind === "ok") term.validUntil = asked + lifeMs / CLOCK_DRIFT_FACTOR - MARGIN_MS;
      else if (answer.kind === "notFound") this.stepDown("the grant is gone");
    });
  }

  /**
   * Raises the token within the term. What was sent under the former one can no longer be executed
   * by a worker that has seen the new one, which is what makes clearing ended attempts safe.
   */
  advanceFencingToken(): void {
    const ctx = this.#ctx;
    const { lease: term } = this;
    if (!term || this.#raising || !this.hasValidLease) return;
    this.#raising = true;
    this.#raisedAt = ctx.now;
    const token = term.fencingToken + 1;
    ctx.callStore(
      {
        kind: "transaction",
        conditions: [
          { key: KEYS.leader, version: term.leaderKeyVersion },
          { key: KEYS.epoch, version: term.epochKeyVersion },
        ],
        changes: [{ put: KEYS.epoch, value: { token } }],
      },
      CALL_MS,
      (answer) => {
        if (this.lease !== term) {
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

  #advance(term: LeaderLease, token: number, version: number): void {
    term.fencingToken = token;
    term.epochKeyVersion = version;
    this.highestTokenSeen = Math.max(this.highestTokenSeen, token);
    this.#view.apply({ key: KEYS.epoch, value: { token }, version });
  }

  /**
   * The raise may have been executed without our knowing, so the key is read before deciding. While the
   * leader key is ours nobody else can have raised it: a higher value under it is our own.
   */
  #reread(term: LeaderLease): void {
    const ctx = this.#ctx;
    ctx.callStore({ kind: "list", prefix: KEYS.config, after: null }, CALL_MS, (answer) => {
      this.#raising = false;
      if (this.lease !== term || answer.kind !== "page") return;
      const leader = answer.entries.find((item) => item.key === KEYS.leader);
      const epoch = answer.entries.find((item) => item.key === KEYS.epoch);
      if (leader?.version !== term.leaderKeyVersion) {
        this.stepDown("another leader is recorded");
        return;
      }
      const token = (epoch?.value as { token?: unknown } | undefined)?.token;
      if (epoch && typeof token === "number" && token >= term.fencingToken) {
        this.#advance(term, token, epoch.version);
      }
    });
  }
}
