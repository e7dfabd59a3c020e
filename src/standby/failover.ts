import type { Context } from "../core/context.js";
import type { AgentCommand } from "../core/messages/agents.js";
import type { Effect } from "../core/messages/effects.js";
import type { RecordSource } from "../core/store/record-reader.js";
import { FailoverTimeline } from "./failover-timeline.js";
import { isStandby, type PeerStandby, type Warmth } from "./role.js";
import { Standby, type StandbyReport } from "./standby.js";

/** A node without a warm cache delays its campaign by this much if a peer has one. */
const CAMPAIGN_DELAY_MS = 600;

/** Provides the standby state of this node's peers. */
export interface PeerStandbySource {
  /** Returns the standby state of each peer. */
  standbys(): PeerStandby[];
}

/** Manages failover at this node: the standby role, the campaign delay, and the record source of a new term. */
export class Failover {
  /** The phases of this node's last failover. */
  readonly timeline = new FailoverTimeline();
  readonly #ctx: Context;
  readonly #peers: PeerStandbySource;
  /** Null if the standby is disabled. */
  readonly #standby: Standby | null;
  #isStandby = false;

  /** `maxCacheBytes` is the memory limit of the standby cache; 0 disables the standby. */
  constructor(ctx: Context, peers: PeerStandbySource, maxCacheBytes: number) {
    this.#ctx = ctx;
    this.#peers = peers;
    this.#standby = maxCacheBytes > 0 ? new Standby(ctx, maxCacheBytes) : null;
  }

  /** Whether this node could start a term from its cache; undefined if the standby is disabled. */
  get warmth(): Warmth | undefined {
    return this.#standby?.warmth;
  }

  /** Updates the standby role and advances the standby. `leader` is null while there is no leader. */
  tick(leader: string | null): void {
    if (!this.#standby) return;
    // Keeps the role while there is no leader, because that is when the cache is needed.
    if (leader !== null)
      this.#isStandby = isStandby(this.#ctx.deployment.node, leader, this.#peers.standbys());
    this.#standby.tick(this.#isStandby);
  }

  /** Starts the failover timeline; called when the leader key has been removed. */
  onLeaderKeyRemoved(): void {
    this.timeline.begin(this.#ctx.now);
  }

  /** Called when this node has been elected. */
  onElected(): void {
    this.timeline.markReached("elected", this.#ctx.now);
  }

  /** Returns how long to delay a campaign so that a node with a warm cache wins. `leader` is the previous leader. */
  campaignDelayMs(leader: string | null): number {
    if (!this.#standby || this.#standby.warmth === "warm") return 0;
    const isPeerWarm = this.#peers
      .standbys()
      .some(({ node, isAlive, warmth }) => node !== leader && isAlive && warmth === "warm");
    return isPeerWarm ? CAMPAIGN_DELAY_MS : 0;
  }

  /** Returns the record source of the term whose election has this revision. `fullRead` reads all from the store. */
  recordSource(revision: number, fullRead: RecordSource): RecordSource {
    const onSourceChosen = (source: "warm" | "cold", reason: string | null) => {
      this.timeline.source = source;
      this.timeline.coldReason = reason;
      this.timeline.markReached("confirmed", this.#ctx.now);
    };
    this.#isStandby = false;
    if (this.#standby) return this.#standby.recordSource(revision, fullRead, { onSourceChosen });
    onSourceChosen("cold", "the standby is not switched on");
    return fullRead;
  }

  /** Records the phases that are visible in the leader's effects. `isReady` is true once the cluster state is built. */
  observeEffects(effects: readonly Effect[], isReady: boolean): void {
    if (this.timeline.isOver) return;
    const { now } = this.#ctx;
    if (isReady) this.timeline.markReached("ready", now);
    for (const effect of effects) {
      const commands = commandsOf(effect);
      if (commands === null) continue;
      if (effect.kind !== "sendAgentCommands") this.timeline.markReached("firstAnswer", now);
      if (commands.some(({ kind }) => kind === "start")) this.timeline.markReached("firstStart", now);
    }
  }

  /**
   * Returns the state of the standby; null if it is disabled. `latestRevision` is the latest store revision known to
   * this node.
   */
  standbyReport(latestRevision: number): StandbyReport | null {
    return this.#standby?.report(latestRevision) ?? null;
  }

  /** Returns the standby and failover sections of the node's status. */
  status(latestRevision: number): Record<string, unknown> {
    const phases = this.timeline.report();
    const report = this.standbyReport(latestRevision);
    if (report === null) return { takeover: phases };
    const { warm, lagRevisions, lagS, ...rest } = report;
    const state = warm ? "warm" : "cold";
    return { standby: { state, ...rest, lag_revisions: lagRevisions, lag_s: lagS }, takeover: phases };
  }
}

/** Returns the commands that an effect sends to an agent; null if it is not for an agent or rejects a heartbeat. */
function commandsOf(effect: Effect): readonly AgentCommand[] | null {
  if (effect.kind === "sendAgentCommands") return effect.commands;
  if (effect.kind !== "replyToAgent" && effect.kind !== "replyToForwardedHeartbeat") return null;
  return effect.reply.kind === "commands" ? effect.reply.commands : null;
}
