import type { Context } from "../core/context.js";
import type { AgentCommand } from "../core/messages/agents.js";
import type { Effect } from "../core/messages/effects.js";
import type { RecordSource } from "../core/store/record-reader.js";
import { FailoverTimeline } from "./failover-timeline.js";
import { type PeerStandby, standsBy, type Warmth } from "./role.js";
import { Standby, type StandbyReport } from "./standby.js";

/** While a peer could lead from its cache, the others leave it this long to stand first. */
const DEFER_MS = 600;

/** What this node knows of the other nodes' caches. */
export interface Peers {
  standbys(): PeerStandby[];
}

/** Who leads next, and from which records: this node's part in it. */
export class Failover {
  /** The steps of this node's last takeover. */
  readonly timeline = new FailoverTimeline();
  readonly #ctx: Context;
  readonly #peers: Peers;
  /** Null where the standby is not switched on. */
  readonly #standby: Standby | null;
  #standsBy = false;

  /** `mostBytes` is what the cache may take; 0 where the standby is not switched on. */
  constructor(ctx: Context, peers: Peers, mostBytes: number) {
    this.#ctx = ctx;
    this.#peers = peers;
    this.#standby = mostBytes > 0 ? new Standby(ctx, mostBytes) : null;
  }

  get warmth(): Warmth | undefined {
    return this.#standby?.warmth;
  }

  tick(leader: string | null): void {
    if (!this.#standby) return;
    // While nobody leads the roles stay: the cache is wanted at just that moment.
    if (leader !== null) this.#standsBy = standsBy(this.#ctx.deployment.node, leader, this.#peers.standbys());
    this.#standby.tick(this.#standsBy);
  }

  /** The leader's key is gone. */
  onLeaderKeyRemoved(): void {
    this.timeline.begin(this.#ctx.now);
  }

  onElected(): void {
    this.timeline.note("elected", this.#ctx.now);
  }

  /** A node that could lead from its cache stands at once; the others leave it a moment. */
  campaignDelayMs(leader: string | null): number {
    if (!this.#standby || this.#standby.warmth === "warm") return 0;
    const isOtherWarm = this.#peers
      .standbys()
      .some(({ node, isHeard, warmth }) => node !== leader && isHeard && warmth === "warm");
    return isOtherWarm ? DEFER_MS : 0;
  }

  /** Where the term that began at this revision takes its records from. */
  source(revision: number, cold: RecordSource): RecordSource {
    const chosen = (source: "warm" | "cold", why: string | null) => {
      this.timeline.source = source;
      this.timeline.why = why;
      this.timeline.note("confirmed", this.#ctx.now);
    };
    this.#standsBy = false;
    if (this.#standby) return this.#standby.source(revision, cold, { chosen });
    chosen("cold", "the standby is not switched on");
    return cold;
  }

  /** Notes what the leader's effects show of its takeover. */
  noteEffects(effects: readonly Effect[], isReady: boolean): void {
    if (this.timeline.isOver) return;
    const { now } = this.#ctx;
    if (isReady) this.timeline.note("ready", now);
    for (const effect of effects) {
      const orders = ordersOf(effect);
      if (orders === null) continue;
      if (effect.kind !== "sendAgentCommands") this.timeline.note("firstAnswer", now);
      if (orders.some(({ kind: op }) => op === "start")) this.timeline.note("firstStart", now);
    }
  }

  /** Null where the standby is not switched on. `newest` is the latest revision that this node knows of. */
  standbyReport(newest: number): StandbyReport | null {
    return this.#standby?.report(newest) ?? null;
  }

  /** For the status. */
  status(newest: number): Record<string, unknown> {
    const takeover = this.timeline.report();
    const report = this.standbyReport(newest);
    if (report === null) return { takeover };
    const { warm, lagRevisions, lagS, ...rest } = report;
    const state = warm ? "warm" : "cold";
    return { standby: { state, ...rest, lag_revisions: lagRevisions, lag_s: lagS }, takeover };
  }
}

/** What an effect tells a worker; null if it is for none. */
function ordersOf(effect: Effect): readonly AgentCommand[] | null {
  if (effect.kind === "sendAgentCommands") return effect.commands;
  if (effect.kind !== "replyToAgent" && effect.kind !== "replyToForwardedHeartbeat") return null;
  return effect.reply.kind === "commands" ? effect.reply.commands : null;
}
