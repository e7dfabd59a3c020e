import type { Context } from "../core/context.js";
import type { AgentCommand } from "../core/messages/agents.js";
import type { Effect } from "../core/messages/effects.js";
import type { RecordSource } from "../core/store/record-reader.js";
import { FailoverTimeline } from "./failover-timeline.js";
import { isStandby, type PeerStandby, type Warmth } from "./role.js";
import { Standby, type StandbyReport } from "./standby.js";

/** A node without a warm cache campaigns this much later if a peer has one. */
const CAMPAIGN_DELAY_MS = 600;

/** What this node knows of its peers. */
export interface Peers {
  /** Each peer's part in the standby. */
  standbys(): PeerStandby[];
}

/** This node's part in a failover: the role of the standby, the delay of a campaign, and the records of a new term. */
export class Failover {
  /** The phases of this node's last failover. */
  readonly timeline = new FailoverTimeline();
  readonly #ctx: Context;
  readonly #peers: Peers;
  /** Null where the standby is not switched on. */
  readonly #standby: Standby | null;
  #isStandby = false;

  /** `maxCacheBytes` is what the standby's cache may take; 0 where the standby is not switched on. */
  constructor(ctx: Context, peers: Peers, maxCacheBytes: number) {
    this.#ctx = ctx;
    this.#peers = peers;
    this.#standby = maxCacheBytes > 0 ? new Standby(ctx, maxCacheBytes) : null;
  }

  /** Whether this node could lead from its cache; undefined where the standby is not switched on. */
  get warmth(): Warmth | undefined {
    return this.#standby?.warmth;
  }

  /** Updates the role and lets the standby work. `leader` is null while nobody leads. */
  tick(leader: string | null): void {
    if (!this.#standby) return;
    // Without a leader the roles stay: this is when the cache is needed.
    if (leader !== null)
      this.#isStandby = isStandby(this.#ctx.deployment.node, leader, this.#peers.standbys());
    this.#standby.tick(this.#isStandby);
  }

  /** The leader's key was removed: a failover begins. */
  onLeaderKeyRemoved(): void {
    this.timeline.begin(this.#ctx.now);
  }

  /** This node was elected. */
  onElected(): void {
    this.timeline.note("elected", this.#ctx.now);
  }

  /** How long to wait before campaigning, so that a node with a warm cache wins. `leader` is the previous leader. */
  campaignDelayMs(leader: string | null): number {
    if (!this.#standby || this.#standby.warmth === "warm") return 0;
    const isPeerWarm = this.#peers
      .standbys()
      .some(({ node, isHeard, warmth }) => node !== leader && isHeard && warmth === "warm");
    return isPeerWarm ? CAMPAIGN_DELAY_MS : 0;
  }

  /** The source of the records for a term whose election had this revision; `cold` reads them from the store. */
  recordSource(revision: number, cold: RecordSource): RecordSource {
    const onSourceChosen = (source: "warm" | "cold", reason: string | null) => {
      this.timeline.source = source;
      this.timeline.coldReason = reason;
      this.timeline.note("confirmed", this.#ctx.now);
    };
    this.#isStandby = false;
    if (this.#standby) return this.#standby.recordSource(revision, cold, { onSourceChosen });
    onSourceChosen("cold", "the standby is not switched on");
    return cold;
  }

  /** Records the phases that the leader's effects show. `isReady`: the cluster state has been built. */
  noteEffects(effects: readonly Effect[], isReady: boolean): void {
    if (this.timeline.isOver) return;
    const { now } = this.#ctx;
    if (isReady) this.timeline.note("ready", now);
    for (const effect of effects) {
      const commands = commandsOf(effect);
      if (commands === null) continue;
      if (effect.kind !== "sendAgentCommands") this.timeline.note("firstAnswer", now);
      if (commands.some(({ kind }) => kind === "start")) this.timeline.note("firstStart", now);
    }
  }

  /**
   * The state of the standby; null where it is not switched on. `latestRevision` is the latest revision of the store that
   * this node knows of.
   */
  standbyReport(latestRevision: number): StandbyReport | null {
    return this.#standby?.report(latestRevision) ?? null;
  }

  /** The standby and failover parts of the node's status. */
  status(latestRevision: number): Record<string, unknown> {
    const takeover = this.timeline.report();
    const report = this.standbyReport(latestRevision);
    if (report === null) return { takeover };
    const { warm, lagRevisions, lagS, ...rest } = report;
    const state = warm ? "warm" : "cold";
    return { standby: { state, ...rest, lag_revisions: lagRevisions, lag_s: lagS }, takeover };
  }
}

/** The commands to an agent that an effect carries; null if it is for no agent, or rejects a heartbeat. */
function commandsOf(effect: Effect): readonly AgentCommand[] | null {
  if (effect.kind === "sendAgentCommands") return effect.commands;
  if (effect.kind !== "replyToAgent" && effect.kind !== "replyToForwardedHeartbeat") return null;
  return effect.reply.kind === "commands" ? effect.reply.commands : null;
}
